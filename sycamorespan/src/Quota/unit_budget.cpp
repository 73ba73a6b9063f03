#include "sycamorespan/src/Quota/unit_budget.h"

#include <algorithm>

namespace sycamorespan {

void unit_budget::setShare(std::int64_t units, time_point validUntil)
{
    m_units = units;
    m_validUntil = validUntil;
}

bool unit_budget::tryAcquire(time_point now)
{
    if (m_inUse >= m_units || now >= m_validUntil)
        return false;
    ++m_inUse;
    return true;
}

void unit_budget::release()
{
    m_inUse = std::max<std::int64_t>(0, m_inUse - 1);
}

} // namespace sycamorespan
