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

duration clock_drift::certainlyElapsed(duration shown) const
{
    return shown - duration(partRoundedUp(shown.count(), partsPerMillion));
}

duration clock_drift::usableTime(duration granted) const
{
    // (1 - 2 * bound) * (1 + bound) <= 1 - bound: the slowest holder ends before the fastest
    // grantor.
    return granted - duration(partRoundedUp(granted.count(), 2 * partsPerMillion));
}

token_amount clock_drift::certainlyEarned(token_amount shown) const
{
    return {shown.nanotokens - partRoundedUp(shown.nanotokens, partsPerMillion)};
}

} // namespace sycamorespan
