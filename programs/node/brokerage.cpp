#include "programs/node/brokerage.h"

#include "sycamorespan/src/Net/clock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamorespan::node {

namespace {

/** \returns the address of the instance's links: the port after that of its reports.
 * \throws error if the instance's address is malformed
 */
endpoint linkAddress(const instance_incarnation &instance)
{
    auto address = parseEndpoint(instance.address);
    ++address.port;
    return address;
}

} // namespace

brokerage::brokerage(ev::loop_ref loop, const instance_incarnation &self,
                     const intake_policy &intake, dispatcher &statements, event_log &log,
                     node_metrics &metrics, event_guard &guard, handlers callbacks)
    : m_self(self)
    , m_dispatcher(statements)
    , m_log(log)
    , m_metrics(metrics)
    , m_handlers(std::move(callbacks))
    , m_candidates(candidate_policy{})
    , m_links(loop, self, linkAddress(self), intake, log, guard,
              {[this](const instance_id &broker, const brokered_answer &answer) {
                   answered(broker, answer);
               },
               [this](const instance_id &broker, std::string_view why) { lost(broker, why); },
               [this](session_number session, const instance_id &instance,
                      const brokered_statement &statement) {
                   m_metrics.countHandOver("served");
                   m_handlers.apply(m_dispatcher.handedOver(session, instance, statement,
                                                            suspendAwareNow()));
               },
               [this](session_number session) {
                   m_handlers.apply(m_dispatcher.callerDisconnected(session, suspendAwareNow()));
               },
               m_handlers.newSession})
{ }

void brokerage::update(std::shared_ptr<const service_directory> directory, const fleet_table &table,
                       bool isStopping, time_point now)
{
    m_directory = std::move(directory);
    std::vector<instance_incarnation> live;
    std::set<data_centre_id> dataCentres{m_self.dataCentre};
    if (!isStopping)
        live.push_back(m_self);
    std::ranges::for_each(table.expectedLive(now), [&](const instance_incarnation &each) {
        dataCentres.insert(each.dataCentre);
        const auto flags = table.flagsOf(each.instance);
        if (each.dataCentre == m_self.dataCentre && !(flags && flags->shuttingDown))
            live.push_back(each);
    });
    m_dataCentres = dataCentres.size();
    m_candidates.setLive(live, now);
    choose(now);
}

void brokerage::choose(time_point now)
{
    if (!m_directory)
        return;
    auto candidates = m_candidates.usable(now);
    std::erase_if(candidates, [&](const instance_incarnation &each) {
        return m_links.isSuspected(each.instance, now);
    });
    std::map<database_id, instance_id> brokers;
    for (const auto &[database, broker] : chooseBrokers(*m_directory, candidates)) {
        brokers.emplace(database, broker.instance);
        m_addresses.insert_or_assign(broker.instance, linkAddress(broker));
        const auto former = m_brokers.find(database);
        if (former == m_brokers.end() || former->second != broker.instance)
            m_log.write(line_importance::state, "broker chosen",
                        {{"database", database.str()},
                         {"broker", broker.instance.str()},
                         {"former", former == m_brokers.end() ? "" : former->second.str()},
                         {"candidates", std::to_string(candidates.size())},
                         {"data_centres", std::to_string(m_dataCentres)},
                         {"configuration_version", std::to_string(m_directory->version)}},
                        now);
    }
    for (const auto &[database, former] : m_brokers)
        if (!brokers.contains(database))
            m_log.write(line_importance::state, "no broker any more",
                        {{"database", database.str()},
                         {"former", former.str()},
                         {"candidates", std::to_string(candidates.size())},
                         {"configuration_version", std::to_string(m_directory->version)}},
                        now);
    m_brokers = brokers;
    m_dispatcher.setBrokers(std::move(brokers), m_self.instance, m_dataCentres);
}

void brokerage::tick(time_point now)
{
    m_links.tick(now);
    m_metrics.setBrokerage(m_links.count(), m_dispatcher.servedCount());
}

void brokerage::answered(const instance_id &broker, const brokered_answer &answer)
{
    m_metrics.countHandOver(answer.isDeclined ? "declined" : "answered");
    m_handlers.apply(m_dispatcher.brokerAnswered(broker, answer, suspendAwareNow()));
}

void brokerage::lost(const instance_id &broker, std::string_view)
{
    const auto now = suspendAwareNow();
    m_metrics.countHandOver("link_lost");
    m_candidates.onLost(broker, now);
    m_handlers.apply(m_dispatcher.brokerLost(broker, now));
    choose(now);
}

void brokerage::perform(const dispatch_action::hand_over &action)
{
    m_metrics.countHandOver("handed_over");
    m_links.handOver(action.broker, m_addresses[action.broker], action.statement);
}

void brokerage::perform(const dispatch_action::end_hand_over &action)
{
    m_links.end(action.broker, action.end);
}

void brokerage::perform(const dispatch_action::answer_hand_over &action)
{
    m_links.answer(action.session, action.answer);
}

bool brokerage::isIdle() const
{
    return m_dispatcher.servedCount() == 0 && m_links.unsentAnswerBytes() == 0;
}

} // namespace sycamorespan::node
