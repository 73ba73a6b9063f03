#include "programs/proxy/caller_connection.h"

#include <utility>

namespace sycamorespan::proxy {
namespace {

/** Amount of unsent output above which no more input is read from the caller. */
constexpr std::size_t readPauseThresholdBytes = 4UL * 1024 * 1024;

} // namespace

caller_connection::caller_connection(const caller_services &services, file_descriptor socket,
                                     std::int32_t processId, std::int32_t secret,
                                     std::function<void()> onClosed)
    : m_services(services)
    , m_processId(processId)
    , m_secret(secret)
    , m_onClosed(std::move(onClosed))
    , m_session(services.limits, services.classifier)
    , m_stream(
              services.loop, std::move(socket),
              {[this](std::string_view bytes) { onReceived(bytes); }, [this] { onStreamClosed(); }})
    , m_startupTimer(services.loop, [this] { onStartupTimeout(); })
{
    m_startupTimer.startOnce(services.startupTimeout);
}

void caller_connection::end(const error_report &report, end_session_mode mode)
{
    handle(end_session_request{report, mode});
}

void caller_connection::cancelRunning()
{
    if (m_flow)
        m_flow->cancelRunning();
}

void caller_connection::handle(const session_event &event)
{
    for (const auto &action : m_session.handle(event))
        std::visit([this](const auto &value) { perform(value); }, action);
}

void caller_connection::perform(const send_bytes &action)
{
    write(action.bytes);
    m_stream.pauseReading(m_stream.pendingBytes() > readPauseThresholdBytes);
}

void caller_connection::perform(const negotiate_tls &)
{
    const bool isOffered = m_services.tls != nullptr && !m_tls;
    m_stream.write(isOffered ? "S" : "N");
    if (isOffered)
        m_tls = std::make_unique<tls_channel>(*m_services.tls);
}

void caller_connection::onReceived(std::string_view bytes)
{
    if (!m_tls)
        return handle(caller_bytes{bytes});
    try {
        const auto plainText = m_tls->receive(bytes);
        m_stream.write(m_tls->takeOutput());
        if (!plainText.empty())
            handle(caller_bytes{plainText});
    } catch (const error &) {
        // After a TLS failure no error message can be sent to the peer.
        perform(abort_work{});
        m_stream.closeAfterWrite();
    }
}

void caller_connection::write(std::string_view bytes)
{
    if (!m_tls)
        return m_stream.write(bytes);
    m_tls->send(bytes);
    m_stream.write(m_tls->takeOutput());
}

void caller_connection::perform(const authenticate_caller &action)
{
    auto decision =
            m_services.access.authenticate(action.identity, action.password, monotonicNow());
    if (const auto *report = std::get_if<error_report>(&decision))
        return handle(caller_refused{*report});
    m_grant = std::move(std::get<caller_grant>(decision));
    auto *database = m_services.findDatabase(m_grant->database);
    m_flow = std::make_unique<statement_flow>(m_services.loop, *database, m_grant->workspace,
                                              m_grant->planStaleness, m_services.bounds,
                                              m_services.statements);
    m_startupTimer.stop();

    const auto token = m_grant->position ? m_services.access.positionToken(m_grant->database,
                                                                           *m_grant->position)
                                         : std::string();
    handle(caller_accepted{m_grant->position, token, m_grant->maxStaleness, !m_grant->guard,
                           m_processId, m_secret});
}

void caller_connection::perform(const start_statement &action)
{
    const bool isRollback = action.request.step == transaction_step::rollback;
    const auto refusal = isRollback ? std::nullopt
                                    : m_services.access.statementRefusal(
                                            *m_grant, m_session.isInTransaction(), monotonicNow());

    if (refusal)
        return refuse(*refusal);
    const bool isExemptFromRate =
            isRollback || action.request.step == transaction_step::commit || !m_grant->guard;

    if (isExemptFromRate)
        return onAdmissionDecided(action.request, true);
    m_pendingAdmission = m_services.quota.nextRequest();
    m_services.quota.admit(m_grant->workspace, *m_pendingAdmission,
                           [this, statement = action.request](bool isAdmitted) {
                               const auto request = std::exchange(m_pendingAdmission, std::nullopt);
                               if (isAdmitted)
                                   m_admittedRequest = request;
                               onAdmissionDecided(statement, isAdmitted);
                           });
}

void caller_connection::settleToken(bool mayHaveRun)
{
    if (const auto request = std::exchange(m_admittedRequest, std::nullopt))
        m_services.quota.settle(m_grant->workspace, *request, mayHaveRun);
}

void caller_connection::onAdmissionDecided(const statement_request &request, bool isAdmitted)
{
    if (!isAdmitted) {
        return refuse({"ERROR",
                       std::string(sqlstate::configurationLimitExceeded),
                       "the workspace's rate is used up: not run",
                       {},
                       "Retry later."});
    }
    m_flow->start(request,
                  [this](statement_flow::outcome outcome) { onFinished(std::move(outcome)); });
}

void caller_connection::refuse(const error_report &report)
{
    m_flow->abandon();
    statement_finished event;
    event.result.error = report;
    event.result.transactionEnded = true;
    handle(event);
}

void caller_connection::perform(const cancel_statement &action)
{
    m_services.cancel(action.processId, action.secret);
}

void caller_connection::perform(const abort_work &)
{
    settleToken(true);
    if (m_pendingAdmission)
        m_services.quota.cancel(m_grant->workspace,
                                *std::exchange(m_pendingAdmission, std::nullopt));
    if (m_flow)
        m_flow->abandon();
}

void caller_connection::perform(const close_session &)
{
    m_startupTimer.stop();
    m_stream.closeAfterWrite();
}

void caller_connection::onStreamClosed()
{
    m_startupTimer.stop();
    perform(abort_work{});
    m_onClosed();
}

void caller_connection::onStartupTimeout()
{
    end({"FATAL", std::string(sqlstate::protocolViolation), "authentication took too long", {}, {}},
        end_session_mode::immediately);
}

void caller_connection::onFinished(statement_flow::outcome outcome)
{
    settleToken(!outcome.notRun);
    statement_finished event{std::move(outcome.result), outcome.position, {}};
    if (outcome.position)
        event.positionToken = m_services.access.positionToken(m_grant->database, *outcome.position);
    handle(event);
}

} // namespace sycamorespan::proxy
