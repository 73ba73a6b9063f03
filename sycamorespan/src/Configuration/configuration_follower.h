#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_FOLLOWER_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_FOLLOWER_H

#include "sycamorespan/src/Configuration/configuration_actions.h"
#include "sycamorespan/src/Configuration/configuration_holder.h"
#include "sycamorespan/src/Configuration/freshness_tracker.h"

#include <optional>

namespace sycamorespan::configuration {

/** \brief Intervals and timeouts of a configuration_follower. */
struct follower_timing
{
    duration queryInterval = 500ms; /**< time between two queries for evidence */
    duration requestTimeout = 1s; /**< timeout for an answer of the agent */
    duration freshnessBound = 4s; /**< maximum age of evidence */
};

/** \brief Keeps the configuration of a proxy up to date, from the messages of one agent.
 * \sa configuration_reader
 */
class configuration_follower
{
public:
    /** \param agent   the agent that messages are sent to
     * \param timing  intervals and timeouts
     */
    configuration_follower(instance_id agent, const follower_timing &timing);

    /** \brief Sends a query for evidence if one is due at \a now. */
    configuration_actions tick(time_point now);
    /** \brief Handles a message of the agent. */
    configuration_actions received(time_point now, const messages::freshness_answer &answer);
    configuration_actions received(time_point now,
                                   const messages::configuration_announce &announce);
    configuration_actions received(time_point now, const messages::configuration_body &body);

    /** \returns whether a request with a key may start at \a now. */
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
    std::optional<time_point> m_querySentAt; // time of the query that has no answer yet
    std::optional<time_point> m_nextQuery;
    std::optional<time_point> m_bodyRequestedAt;
};

} // namespace sycamorespan::configuration

#endif
