#include "sycamorespan/src/Configuration/configuration_follower.h"

namespace sycamorespan::configuration {

configuration_follower::configuration_follower(instance_id agent, const follower_timing &timing)
    : m_agent(std::move(agent))
    , m_timing(timing)
    , m_tracker(timing.freshnessBound)
{ }

configuration_actions configuration_follower::tick(time_point now)
{
    const bool isWaiting = m_querySentAt && now - *m_querySentAt < m_timing.requestTimeout;
    if (isWaiting || (m_nextQuery && now < *m_nextQuery))
        return {};
    m_querySentAt = now;
    m_nextQuery = now + m_timing.queryInterval;
    return {send_message{m_agent, messages::freshness_query{++m_sequence}}};
}

configuration_actions configuration_follower::received(time_point now,
                                                       const messages::freshness_answer &answer)
{
    configuration_actions actions;
    if (!m_querySentAt || answer.sequence != m_sequence)
        return actions;
    m_tracker.peerAnswered(*m_querySentAt, answer);
    m_querySentAt.reset();
    requestBody(now, answer.version, actions);
    return actions;
}

configuration_actions
configuration_follower::received(time_point now, const messages::configuration_announce &announce)
{
    configuration_actions actions;
    requestBody(now, announce.version, actions);
    return actions;
}

configuration_actions configuration_follower::received(time_point /*now*/,
                                                       const messages::configuration_body &body)
{
    if (!m_holder.offer(body.version, body.body))
        return {};
    m_bodyRequestedAt.reset();
    return {put_in_force{m_holder.document()}};
}

void configuration_follower::requestBody(time_point now, configuration_version version,
                                         configuration_actions &actions)
{
    const bool isWaiting = m_bodyRequestedAt && now - *m_bodyRequestedAt < m_timing.requestTimeout;
    if (version <= m_holder.version() || isWaiting)
        return;
    m_bodyRequestedAt = now;
    actions.emplace_back(send_message{m_agent, messages::configuration_request{version}});
}

} // namespace sycamorespan::configuration
