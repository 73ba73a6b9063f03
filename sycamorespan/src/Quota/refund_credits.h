#ifndef SYCAMORESPAN_QUOTA_REFUND_CREDITS_H
#define SYCAMORESPAN_QUOTA_REFUND_CREDITS_H

#include "sycamorespan/src/Quota/quota_amounts.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace sycamorespan {

/** \brief Tokens that are refunded if an admitted request turns out not to run.
 *
 * A refund must not exceed the burst: once the refill has replaced the spent tokens, nothing may be
 * refunded. Therefore the sum of the credits is limited to the free capacity of the bucket; the
 * oldest credits are reduced first.
 */
class refund_credits
{
public:
    /** \brief Records that request \a id spent \a amount. */
    void add(std::uint64_t id, token_amount amount);

    /** \brief Removes the credit of request \a id. \returns what is left of it */
    token_amount take(std::uint64_t id);

    /** \brief Reduces credits, the oldest first, until their sum is at most \a freeCapacity. */
    void limitTo(token_amount freeCapacity);

    token_amount sum() const { return m_sum; }

private:
    struct credit
    {
        std::uint64_t id = 0;
        token_amount amount;
    };

    std::map<std::uint64_t, credit> m_creditsBySequence;
    std::unordered_map<std::uint64_t, std::uint64_t> m_sequenceOfRequest;
    std::uint64_t m_lastSequence = 0;
    token_amount m_sum;
};

} // namespace sycamorespan

#endif
