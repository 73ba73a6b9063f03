#include "sycamorespan/src/Quota/quota_amounts.h"

namespace sycamorespan {

namespace {

/** \returns value * units / total, rounded down; avoids the overflow of value * units. */
constexpr std::int64_t proportion(std::int64_t value, std::int64_t units, std::int64_t total)
{
    return value / total * units + value % total * units / total;
}

} // namespace

quota_limit quota_limit::share(std::int64_t units, std::int64_t totalUnits) const
{
    if (totalUnits <= 0)
        return {};
    return {{proportion(rate.millitokensPerSecond, units, totalUnits)},
            {proportion(burst.nanotokens, units, totalUnits)}};
}

} // namespace sycamorespan
