#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_FOLLOWER_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_FOLLOWER_H

#include "sycamorespan/src/Configuration/configuration_actions.h"
#include "sycamorespan/src/Configuration/configuration_holder.h"
#include "sycamorespan/src/Configuration/freshness_tracker.h"

#include <optional>

namespace sycamorespan::configuration {

/** \brief Intervals of a configuration_follower. */
struct follower_timing
{
    duration queryInterval = 500ms;
    duration requestTimeout = 1s;
    duration freshnessBound = 4s;
};

/** \brief Keeps the configuration of a proxy up to date from one agent.
 * \sa configuration_reader
 */
class configuration_follower
{
public:
    /** \param agent   the agent, as named in send_message
     * \param timing  intervals
     */
    configuration_follower(instance_id agent, const follower_timing &timing);

    configuration_actions tick(time_point now);
    configuration_actions received(time_point now, const messages::freshness_answer &answer);
    configuration_actions received(time_point now,
                                   const messages::configuration_announce &announce);
    configuration_actions received(time_point now, const messages::configuration_body &body);

    /** \returns whether requests with a key may start at \a now. */
    bool isFresh(time_point now) const { return m_tracker.isFresh(now, m_holder.version()); }

    const configuration_holder &holder() const noexcept { return m_holder; }
    const freshness_tracker &tracker() const noexcept { return m_tracker; }

private:
    void requestBody(time_point now, configuration_version version, configuration_actions &actions);

    instance_id m_agent;
    follower_timing m_timing;
    configuration_holder m_holder;
    freshness_tracker m_tracker;
    std::uint64_t m_sequence = 0;
    std::optional<time_point> m_askedAt; // while a query is not answered
    std::optional<time_point> m_nextQuery;
    std::optional<time_point> m_requestedAt;
};

} // namespace sycamorespan::configuration

#endif
