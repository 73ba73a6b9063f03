#ifndef SYCAMORESPAN_QUOTA_REFUND_CREDITS_H
#define SYCAMORESPAN_QUOTA_REFUND_CREDITS_H

#include "sycamorespan/src/Quota/quota_amounts.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace sycamorespan {

/** \brief What the requests that were admitted, and haven't run yet, would get back.
 *
 * Refill replaces spent tokens: once a bucket is full again, nothing is given back, or the burst
 * would be exceeded. So the credits are kept below the bucket's room; the oldest shrink first.
 */
class refund_credits
{
public:
    /** \brief Notes that request \a id took \a amount. */
    void add(std::uint64_t id, token_amount amount);

    /** \brief Ends the credit of request \a id. \returns what is left of it */
    token_amount take(std::uint64_t id);

    /** \brief Shrinks credits, the oldest first, until their sum is at most \a room. */
    void limitTo(token_amount room);

    token_amount sum() const { return m_sum; }

private:
    struct credit
    {
        std::uint64_t id = 0;
        token_amount amount;
    };

    std::map<std::uint64_t, credit> m_byAge;
    std::unordered_map<std::uint64_t, std::uint64_t> m_ageOf;
    std::uint64_t m_lastAge = 0;
    token_amount m_sum;
};

} // namespace sycamorespan

#endif
