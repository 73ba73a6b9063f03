#ifndef SYCAMORESPAN_QUOTA_TOKEN_BUCKET_H
#define SYCAMORESPAN_QUOTA_TOKEN_BUCKET_H

#include "sycamorespan/src/Quota/clock_drift.h"
#include "sycamorespan/src/Quota/quota_amounts.h"

namespace sycamorespan {

/** \brief Token bucket on one clock whose capacity can be lent.
 *
 * Lent tokens leave the level but still count against the capacity until they are settled, so that
 * level + lent <= burst at every instant.
 */
class token_bucket
{
public:
    /** \brief Starts with level 0.
     * \param limit  rate and burst
     * \param drift  refill is slowed by it, so that a fast clock doesn't exceed the rate
     */
    token_bucket(const quota_limit &limit, clock_drift drift, time_point now);

    const quota_limit &limit() const { return m_limit; }
    token_amount level() const { return m_level; }
    token_amount lent() const { return m_lent; }

    /** \brief Adds the tokens of the time since the last call; a time in the past adds none. */
    void refill(time_point now);

    /** \brief Changes the limit; what no longer fits into the burst is dropped. */
    void setLimit(const quota_limit &limit, time_point now);

    /** \brief Adds tokens as far as they fit, such as those of a request that did not run. */
    void add(token_amount amount);

    /** \returns whether the level covered \a cost, which is then taken. */
    bool trySpend(token_amount cost);

    /** \brief Takes \a amount, at most the level, and counts it as lent. */
    void lend(token_amount amount);

    /** \brief Ends a loan of \a amount, of which \a unspent comes back. */
    void settle(token_amount amount, token_amount unspent);

    /** \returns the time until the level covers \a cost; duration::max() if it never will. */
    duration timeUntil(token_amount cost) const;

    /** \returns what can be added until level + lent is the burst. */
    token_amount room() const;

private:
    quota_limit m_limit;
    clock_drift m_drift;
    token_amount m_level;
    token_amount m_lent;
    time_point m_refilled;
};

} // namespace sycamorespan

#endif
