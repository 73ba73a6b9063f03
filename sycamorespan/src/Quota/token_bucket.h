#ifndef SYCAMORESPAN_QUOTA_TOKEN_BUCKET_H
#define SYCAMORESPAN_QUOTA_TOKEN_BUCKET_H

#include "sycamorespan/src/Quota/clock_drift.h"
#include "sycamorespan/src/Quota/quota_amounts.h"

namespace sycamorespan {

/** \brief Token bucket whose tokens can be lent to other holders.
 *
 * Lent tokens are taken from the level, but count against the burst until they are settled, so that
 * level + lent <= burst at every instant.
 */
class token_bucket
{
public:
    /** \brief Starts with level 0.
     * \param limit  rate and burst
     * \param drift  bound by which the refill is slowed, so that a fast clock doesn't exceed the
     * rate
     */
    token_bucket(const quota_limit &limit, clock_drift drift, time_point now);

    const quota_limit &limit() const { return m_limit; }
    token_amount level() const { return m_level; }
    token_amount lent() const { return m_lent; }

    /** \brief Adds the tokens earned since the last call; none if \a now is not later than that
     * call.
     */
    void refill(time_point now);

    /** \brief Changes the limit; tokens that exceed the new burst are discarded. */
    void setLimit(const quota_limit &limit, time_point now);

    /** \brief Adds tokens up to the free capacity, such as those of a request that did not run. */
    void add(token_amount amount);

    /** \brief Takes \a cost from the level if it suffices. \returns whether it did */
    bool trySpend(token_amount cost);

    /** \brief Moves \a amount, at most the level, from the level to the lent tokens. */
    void lend(token_amount amount);

    /** \brief Ends a loan of \a amount, of which \a unspent is returned. */
    void settle(token_amount amount, token_amount unspent);

    /** \returns the time until the level covers \a cost; duration::max() if it never will. */
    duration timeUntil(token_amount cost) const;

    /** \returns the tokens that can be added before level + lent reaches the burst. */
    token_amount freeCapacity() const;

private:
    quota_limit m_limit;
    clock_drift m_drift;
    token_amount m_level;
    token_amount m_lent;
    time_point m_refilledAt;
};

} // namespace sycamorespan

#endif
