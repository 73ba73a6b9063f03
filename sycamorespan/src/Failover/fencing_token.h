#ifndef SYCAMORESPAN_FAILOVER_FENCING_TOKEN_H
#define SYCAMORESPAN_FAILOVER_FENCING_TOKEN_H

#include "sycamorespan/src/Core/store_revision.h"

#include <algorithm>
#include <cstdint>

namespace sycamorespan {

/** \brief Number that orders the supervisors. Its upper bits are the era of the store in which the
 * claim was written, so that a store that has lost a claim never gives out its token again.
 */
using fencing_token = std::uint64_t;

/** \brief Bits of a fencing token that count the claims of one era. */
constexpr int claimBits = 20;

/** \returns the era of the store in which the claim with this token was written. */
constexpr store_era eraOf(fencing_token token)
{
    return token >> claimBits;
}

/** \returns the token of a claim in \a era that follows \a newest, the highest known one. */
constexpr fencing_token nextToken(fencing_token newest, store_era era)
{
    return std::max(newest, era << claimBits) + 1;
}

/** \returns whether \a token is that of the first claim in an era of a store that names eras. */
constexpr bool isFirstOfEra(fencing_token token)
{
    return eraOf(token) > 0 && token == nextToken(0, eraOf(token));
}

} // namespace sycamorespan

#endif
