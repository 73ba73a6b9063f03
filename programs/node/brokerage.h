#ifndef SYCAMORESPAN_PROGRAMS_NODE_BROKERAGE_H
#define SYCAMORESPAN_PROGRAMS_NODE_BROKERAGE_H

#include "programs/node/broker_link.h"
#include "programs/node/node_metrics.h"

#include "sycamorespan/src/Brokerage/broker_candidates.h"
#include "sycamorespan/src/Brokerage/broker_choice.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"
#include "sycamorespan/src/Membership/fleet_table.h"

#include <functional>
#include <map>
#include <memory>

namespace sycamorespan::node {

/** \brief Connects the dispatcher with those of other instances: chooses the brokers, hands
 * statements over to them and runs statements of others.
 */
class brokerage
{
public:
    struct handlers
    {
        /** Called with outputs of the dispatcher. */
        std::function<void(dispatch_outputs)> apply;
        /** \returns a new session number. */
        std::function<session_number()> newSession;
    };

    /** \param intake  limits on the links of other instances */
    brokerage(ev::loop_ref loop, const instance_incarnation &self, const intake_policy &intake,
              dispatcher &statements, event_log &log, node_metrics &metrics, event_guard &guard,
              handlers callbacks);

    /** \brief Chooses the brokers of all databases that need one.
     * \param isStopping  whether this instance shuts down, so that it is not chosen
     */
    void update(std::shared_ptr<const service_directory> directory, const fleet_table &table,
                bool isStopping, time_point now);
    /** \brief Supervises the links. Must be called at least every 100 ms. */
    void tick(time_point now);

    void perform(const dispatch_action::hand_over &action);
    void perform(const dispatch_action::end_hand_over &action);
    void perform(const dispatch_action::answer_hand_over &action);

    /** \returns whether no operation of another instance runs here or has an unsent answer. */
    bool isIdle() const;

private:
    void answered(const instance_id &broker, const brokered_answer &answer);
    void lost(const instance_id &broker, std::string_view why);
    void choose(time_point now);

    instance_incarnation m_self;
    dispatcher &m_dispatcher;
    event_log &m_log;
    node_metrics &m_metrics;
    handlers m_handlers;
    broker_candidates m_candidates;
    std::shared_ptr<const service_directory> m_directory;
    std::size_t m_dataCentres = 1; ///< with live instances
    std::map<database_id, instance_id> m_brokers;
    std::map<instance_id, endpoint> m_addresses; ///< of links
    broker_link m_links;
};

} // namespace sycamorespan::node

#endif
