#ifndef SYCAMORESPAN_PROGRAMS_NODE_FLEET_LINK_H
#define SYCAMORESPAN_PROGRAMS_NODE_FLEET_LINK_H

#include "programs/node/event_guard.h"
#include "programs/node/event_log.h"
#include "programs/node/node_metrics.h"

#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Membership/fleet_table.h"
#include "sycamorespan/src/Net/datagram_socket.h"
#include "sycamorespan/src/Net/loop_timer.h"
#include "sycamorespan/src/Quota/quota_messages.h"

#include <functional>
#include <map>

namespace sycamorespan::node {

/** \brief Datagrams between this instance and the other ones: reports, when the fleet_table has
 * them due, and loans of rates.
 */
class fleet_link
{
public:
    struct handlers
    {
        /** \returns the complete report of this instance. */
        std::function<instance_report(time_point)> makeReport;
        /** Called with what the sender of a report knows. */
        std::function<void(const instance_incarnation &, const fleet_news &)> onNews;
        std::function<void(const quota_message &)> onQuotaMessage;
    };

    /** \param clock  reference clock, against which the age of reports is checked */
    fleet_link(ev::loop_ref loop, const instance_incarnation &self, const reference_clock &clock,
               event_log &log, node_metrics &metrics, event_guard &guard, handlers callbacks);

    fleet_table &table() { return m_table; }
    const fleet_table &table() const { return m_table; }

    /** \brief Sends reports as soon as possible. */
    void requestReports(report_cause cause = report_cause::requested);
    /** \brief Sends a message to an instance, or drops it if its address is unknown. */
    void send(const instance_id &to, const quota_message &message);

private:
    void receive(std::string_view bytes);
    template<typename Report>
    void receiveReport(const Report &report, time_point now);
    void sendReports();
    void send(const std::string &address, std::string_view bytes);
    void countUrgentReports(report_cause cause, std::size_t bytes, time_point now);
    void schedule(time_point now);

    const reference_clock &m_clock;
    event_log &m_log;
    node_metrics &m_metrics;
    event_guard &m_guard;
    handlers m_handlers;
    fleet_table m_table;
    datagram_socket m_socket;
    loop_timer m_timer;
    time_point m_scheduledAt;
    std::map<report_cause, std::size_t> m_urgentReports; ///< since the last log line on them
    std::size_t m_urgentBytes = 0;
    time_point m_urgentLoggedAt;
};

} // namespace sycamorespan::node

#endif
