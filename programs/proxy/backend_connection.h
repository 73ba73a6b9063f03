#ifndef SYCAMORESPAN_PROGRAMS_PROXY_BACKEND_CONNECTION_H
#define SYCAMORESPAN_PROGRAMS_PROXY_BACKEND_CONNECTION_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <ev++.h>
#include <libpq-fe.h>

#include "sycamorespan/Net"
#include "sycamorespan/Session"

namespace sycamorespan::proxy {

/** \brief One statement of a batch that is sent in one round trip. */
struct backend_step
{
    sql_request sql;
    /** Whether a pipeline synchronization point follows. After a failed step, the server skips all
     * steps up to the next synchronization point.
     */
    bool syncAfter = true;
};

/** \brief Results of a batch, in the order of its steps. */
struct backend_reply
{
    std::vector<sql_result> results;
    /** Whether the connection failed or timed out; steps without a result may have run. */
    bool connectionLost = false;
};

/** \brief One connection to a backend server, through libpq in pipeline mode. */
class backend_connection
{
public:
    struct options
    {
        endpoint address;
        std::string password;
        std::string applicationName;
        duration connectTimeout = 1s;
    };
    enum class state { connecting, ready, busy, closed };

    using connected_handler = std::function<void(bool)>;
    using reply_handler = std::function<void(backend_reply)>;

    /** \param onConnected  called once, from the loop, with whether connecting succeeded */
    backend_connection(ev::loop_ref loop, const options &settings, connected_handler onConnected);
    backend_connection(const backend_connection &) = delete;
    backend_connection &operator=(const backend_connection &) = delete;
    ~backend_connection();

    /** \brief Sends \a steps; closes the connection when no answer arrives within \a timeout. */
    void run(std::vector<backend_step> steps, duration timeout, reply_handler onReply);

    /** \brief Closes the connection; a running batch is reported as lost. */
    void abort();

    /** \brief Requests cancellation of the running statement; its reply arrives as usual. */
    void cancelRunning();

    state currentState() const noexcept { return m_state; }
    /** \returns whether the server reports no open transaction. */
    bool isOutsideTransaction() const;
    /** \returns the text of the last connection error. */
    const std::string &lastError() const noexcept { return m_lastError; }

private:
    struct connection_closer
    {
        void operator()(PGconn *connection) const { PQfinish(connection); }
    };

    void onReady(ev::io &watcher, int events);
    void onTimeout();
    void continueConnecting();
    void readResults();
    bool storeResult(PGresult *result);
    void sendSteps();
    void finishStep();
    void finishBatch();
    void fail();
    void reportConnectionLost();
    void watch(int events);

    state m_state = state::connecting;
    std::unique_ptr<PGconn, connection_closer> m_connection;
    connected_handler m_onConnected;
    reply_handler m_onReply;
    std::vector<backend_step> m_steps;
    backend_reply m_reply;
    sql_result m_result;
    bool m_hasResult = false;
    std::string m_lastError;
    ev::io m_io;
    loop_timer m_timer;
};

} // namespace sycamorespan::proxy

#endif
