#include "sycamorespan/src/Quota/clock_drift.h"

namespace sycamorespan {

namespace {

constexpr std::int64_t million = 1'000'000;

/** \returns value * partsPerMillion / million, rounded up, for a value that isn't negative. */
constexpr std::int64_t partRoundedUp(std::int64_t value, std::int64_t partsPerMillion)
{
    const auto whole = value / million * partsPerMillion;
    const auto rest = value % million * partsPerMillion;
    return whole + (rest + million - 1) / million;
}

} // namespace

duration clock_drift::minElapsed(duration measured) const
{
    return measured - duration(partRoundedUp(measured.count(), partsPerMillion));
}

duration clock_drift::usableLeaseTime(duration leaseTime) const
{
    // (1 - 2 * bound) * (1 + bound) <= 1 - bound, so that the lease expires on the slowest clock of
    // a holder before the wait ends on the fastest clock of a grantor.
    return leaseTime - duration(partRoundedUp(leaseTime.count(), 2 * partsPerMillion));
}

token_amount clock_drift::minEarned(token_amount measured) const
{
    return {measured.nanotokens - partRoundedUp(measured.nanotokens, partsPerMillion)};
}

} // namespace sycamorespan
