#ifndef SYCAMORESPAN_QUOTA_WARM_UP_RATE_H
#define SYCAMORESPAN_QUOTA_WARM_UP_RATE_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief Division of a member's warm-up rate among the instances that send to it.
 *
 * Nothing is agreed on: each instance computes the division from its own list of instances. Half of
 * the rate is given out, so that the rate also holds while two groups of instances know entirely
 * different lists.
 */
namespace warm_up_shares {

/** \returns the interval between the statements of each of \a senders equal senders. */
duration intervalOf(double ratePerSecond, std::size_t senders);

/** \returns the interval between the statements that \a self may send; nothing if it may send none.
 *
 * Few instances send, chosen by rendezvous: each sends several statements a second, because many
 * senders that each send at least one would exceed the rate.
 * \param member     id of the member
 * \param instances  registered instances, \a self included
 */
std::optional<duration> intervalFor(std::string_view member, double ratePerSecond,
                                    const instance_id &self,
                                    const std::vector<instance_id> &instances);

} // namespace warm_up_shares

/** \brief Spaces the statements that one instance sends to a member that is slow after its start.
 *
 * The first one is due an interval after the share was received, so that an instance which restarts
 * or regains a share doesn't send sooner than it did before.
 */
class warm_up_rate
{
public:
    /** \brief Sets the share of this instance; nothing if it may send nothing. */
    void setInterval(std::optional<duration> interval, time_point now);

    bool hasShare() const { return m_interval.has_value(); }
    /** \returns whether a statement may be sent. */
    bool maySend(time_point now) const { return m_interval && now >= m_nextAt; }
    /** \returns when the statement after \a ahead others may be sent; the share must be set. */
    time_point dueAfter(std::size_t ahead, time_point now) const;
    /** \brief Notes that \a count statements are sent, which may be more than are due. */
    void onSent(std::size_t count, time_point now);

private:
    std::optional<duration> m_interval;
    time_point m_nextAt;
};

} // namespace sycamorespan

#endif
