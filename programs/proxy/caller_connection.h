#ifndef SYCAMORESPAN_PROGRAMS_PROXY_CALLER_CONNECTION_H
#define SYCAMORESPAN_PROGRAMS_PROXY_CALLER_CONNECTION_H

#include <functional>
#include <memory>
#include <optional>

#include <ev++.h>

#include "programs/proxy/access_control.h"
#include "programs/proxy/quota_task.h"
#include "programs/proxy/statement_flow.h"
#include "sycamorespan/Net"
#include "sycamorespan/Session"

namespace sycamorespan::proxy {

/** \brief Services and settings that all caller connections share; owned by the proxy. */
struct caller_services
{
    ev::loop_ref loop;
    statement_classifier &classifier;
    access_control &access;
    quota_task &quota;
    statement_counters &statements;
    session_limits limits;
    statement_bounds bounds;
    duration startupTimeout = 5s;
    const tls_context *tls = nullptr; ///< nullptr: TLS is off, callers use clear text
    std::function<database_task *(const database_id &)> findDatabase;
    std::function<void(std::int32_t processId, std::int32_t secret)> cancel;
};

/** \brief Connection of one caller: its socket, its session and its running statement. */
class caller_connection
{
public:
    caller_connection(const caller_services &services, file_descriptor socket,
                      std::int32_t processId, std::int32_t secret, std::function<void()> onClosed);

    std::int32_t processId() const noexcept { return m_processId; }
    std::int32_t secret() const noexcept { return m_secret; }
    const std::optional<caller_grant> &grant() const noexcept { return m_grant; }
    bool isIdle() const noexcept { return m_session.isIdle(); }

    void end(const error_report &report, end_session_mode mode);
    void cancelRunning();

private:
    void handle(const session_event &event);
    void perform(const send_bytes &action);
    void perform(const negotiate_tls &action);
    void perform(const authenticate_caller &action);
    void perform(const start_statement &action);
    void perform(const cancel_statement &action);
    void perform(const abort_work &action);
    void perform(const close_session &action);
    void onReceived(std::string_view bytes);
    void write(std::string_view bytes);
    void onStreamClosed();
    void onStartupTimeout();
    void onAdmissionDecided(const statement_request &request, bool isAdmitted);
    void settleToken(bool mayHaveRun);
    void refuse(const error_report &report);
    void onFinished(statement_flow::outcome outcome);

    const caller_services &m_services;
    std::int32_t m_processId;
    std::int32_t m_secret;
    std::function<void()> m_onClosed;
    caller_session m_session;
    std::optional<caller_grant> m_grant;
    std::unique_ptr<statement_flow> m_flow;
    std::optional<std::uint64_t> m_pendingAdmission; ///< request that waits for a rate token
    std::optional<std::uint64_t> m_admittedRequest; ///< request that holds a token
    std::unique_ptr<tls_channel> m_tls;
    byte_stream m_stream;
    loop_timer m_startupTimer;
};

} // namespace sycamorespan::proxy

#endif
