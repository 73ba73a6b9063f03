#include "programs/node/fleet_link.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Net/clock.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace sycamorespan::node {

namespace {

/** First byte of a datagram between instances; it gives the type of the message. */
constexpr char instanceReportType = 'I';
constexpr char relayReportType = 'D';
constexpr char quotaMessageType = 'Q';

/** Age of a report beyond which it is dropped. A process that stood still finds reports of that
 * time in its socket.
 */
constexpr duration maxReportAge = 1s;

/** Least time between two log lines on urgent reports. */
constexpr duration urgentLogInterval = 5s;

/** Delay of reports that were requested, so that changes at about the same time share them. */
constexpr duration requestDelay = 2ms;

} // namespace

fleet_link::fleet_link(ev::loop_ref loop, const instance_incarnation &self,
                       const reference_clock &clock, event_log &log, node_metrics &metrics,
                       event_guard &guard, handlers callbacks)
    : m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_guard(guard)
    , m_handlers(std::move(callbacks))
    , m_table(self, fleet_policy{})
    , m_socket(loop, parseEndpoint(self.address),
               [this](std::string_view bytes) {
                   m_guard.run("datagram of another instance", [&] { receive(bytes); });
               })
    , m_timer(loop, [this] {
        m_guard.run("reports to other instances", [this] { sendReports(); });
        schedule(suspendAwareNow());
    })
{
    requestReports();
}

void fleet_link::receive(std::string_view bytes)
{
    if (bytes.empty())
        return;
    const auto now = suspendAwareNow();
    const auto body = bytes.substr(1);
    try {
        switch (bytes.front()) {
        case instanceReportType:
            return receiveReport(decodeInstanceReport(body), now);
        case relayReportType:
            return receiveReport(decodeRelayReport(body), now);
        case quotaMessageType:
            return m_handlers.onQuotaMessage(
                    decodeQuotaMessage(std::vector<std::uint8_t>(body.begin(), body.end())));
        default:
            throw decode_error("unknown type of message");
        }
    } catch (const decode_error &failure) {
        m_metrics.countMalformedMessage();
        m_log.write(line_importance::failure, "message from another instance could not be decoded",
                    {{"error", failure.what()}}, now);
    }
}

template<typename Report>
void fleet_link::receiveReport(const Report &report, time_point now)
{
    static_cast<void>(parseEndpoint(report.sender.address)); // reports are sent to it
    const auto earliest = m_clock.earliest(now);
    if (earliest && report.sentAt && *earliest - *report.sentAt > maxReportAge)
        return;
    if constexpr (std::is_same_v<Report, instance_report>) {
        if (m_table.handle(report, now))
            m_log.write(line_importance::state, "report received from a new instance incarnation",
                        {{"instance", report.sender.instance.str()},
                         {"boot", std::to_string(report.sender.incarnation)}},
                        now);
    } else {
        m_table.handle(report, now);
    }
    m_handlers.onNews(report.sender, report.news);
    schedule(now);
}

void fleet_link::requestReports(report_cause cause)
{
    m_table.requestReports(cause);
    schedule(suspendAwareNow());
}

/** Starts the timer unless it is due early enough already. */
void fleet_link::schedule(time_point now)
{
    const auto due = std::max(m_table.nextReportsAt(), now + requestDelay);
    if (m_timer.isActive() && m_scheduledAt <= due)
        return;
    m_scheduledAt = due;
    m_timer.startOnce(due - now);
}

void fleet_link::sendReports()
{
    const auto now = suspendAwareNow();
    m_table.refresh(now);
    const auto encoded = [](const auto &report) {
        using report_type = std::decay_t<decltype(report)>;
        constexpr char type =
                std::is_same_v<report_type, instance_report> ? instanceReportType : relayReportType;
        return type + encode(report);
    };
    std::size_t sent = 0;
    std::ranges::for_each(
            m_table.makeReports(m_handlers.makeReport(now), now), [&](const outgoing_report &each) {
                const auto bytes = std::visit(encoded, each.report);
                sent += bytes.size() * each.addresses.size();
                std::ranges::for_each(each.addresses,
                                      [&](const std::string &to) { send(to, bytes); });
            });
    const auto cause = m_table.lastReportCause();
    m_metrics.countReports(nameOf(cause), sent);
    countUrgentReports(cause, sent, now);
}

/** Logs how many reports were sent because something changed, by cause, at most once in an
 * interval.
 */
void fleet_link::countUrgentReports(report_cause cause, std::size_t bytes, time_point now)
{
    if (cause != report_cause::regular) {
        ++m_urgentReports[cause];
        m_urgentBytes += bytes;
    }
    if (m_urgentReports.empty() || now - m_urgentLoggedAt < urgentLogInterval)
        return;
    event_fields fields{{"bytes", std::to_string(std::exchange(m_urgentBytes, 0))}};
    for (const auto &[each, count] : std::exchange(m_urgentReports, {}))
        fields.emplace_back(nameOf(each), std::to_string(count));
    m_urgentLoggedAt = now;
    m_log.write(line_importance::routine, "urgent reports sent", fields, now);
}

/** Sends a datagram, unless the address of the registered instance can't be parsed. */
void fleet_link::send(const std::string &address, std::string_view bytes)
{
    try {
        m_socket.send(parseEndpoint(address), bytes);
    } catch (const decode_error &failure) {
        m_log.write(line_importance::failure, "address of an instance could not be decoded",
                    {{"error", failure.what()}}, suspendAwareNow());
    }
}

void fleet_link::send(const instance_id &to, const quota_message &message)
{
    const auto receiver = m_table.incarnationOf(to);
    if (!receiver)
        return;
    const auto bytes = encodeQuotaMessage(message);
    send(receiver->address, quotaMessageType + std::string(bytes.begin(), bytes.end()));
}

} // namespace sycamorespan::node
