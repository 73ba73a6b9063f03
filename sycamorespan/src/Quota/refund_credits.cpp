#include "sycamorespan/src/Quota/refund_credits.h"

#include <algorithm>

namespace sycamorespan {

void refund_credits::add(std::uint64_t id, token_amount amount)
{
    ++m_lastAge;
    m_byAge.emplace(m_lastAge, credit{id, amount});
    m_ageOf[id] = m_lastAge;
    m_sum += amount;
}

token_amount refund_credits::take(std::uint64_t id)
{
    const auto age = m_ageOf.find(id);
    if (age == m_ageOf.end())
        return {};
    const auto found = m_byAge.find(age->second);
    const auto amount = found->second.amount;
    m_byAge.erase(found);
    m_ageOf.erase(age);
    m_sum -= amount;
    return amount;
}

void refund_credits::limitTo(token_amount room)
{
    while (m_sum > room && !m_byAge.empty()) {
        auto &oldest = m_byAge.begin()->second;
        const auto excess = std::min(m_sum - room, oldest.amount);
        oldest.amount -= excess;
        m_sum -= excess;
        if (oldest.amount == token_amount{}) {
            m_ageOf.erase(oldest.id);
            m_byAge.erase(m_byAge.begin());
        }
    }
}

} // namespace sycamorespan
