#ifndef STANDIN_BACKEND_SERVER_REPLICATION_CLIENT_H
#define STANDIN_BACKEND_SERVER_REPLICATION_CLIENT_H

#include <deque>
#include <memory>
#include <string>

#include <ev++.h>
#include <libpq-fe.h>

#include "group_member.h"

namespace standin {

/** \brief Pulls log entries from the primary that the member follows.
 *
 * Entries are added to the log when they arrive and applied after a configurable lag.
 */
class replication_client
{
public:
    struct options
    {
        std::string password;
        /** Pause between an answer and the next pull. */
        double pollSeconds = 0.001;
    };

    replication_client(ev::loop_ref loop, group_member &member, options settings);

    /** \brief Sets the time between the pull of an entry and its application to the database. */
    void setLag(double seconds) { m_lagSeconds = seconds; }

    /** \returns the age of the data that reads see, in milliseconds; -1 when it is unknown. */
    std::int64_t stalenessMs() const;

    /** \brief Closes the connection and forgets pending entries after the member's role changed. */
    void reset();

private:
    struct connection_closer
    {
        void operator()(PGconn *connection) const { PQfinish(connection); }
    };
    struct delayed_apply
    {
        double applyAt = 0;
        double pulledAt = 0;
        std::uint64_t offset = 0;
        bool reachesPrimaryEnd = false;
    };

    void onTimer(ev::timer &watcher, int events);
    void onReady(ev::io &watcher, int events);
    void connect();
    void continueConnecting();
    void sendPull();
    void readAnswer();
    void appendBatch(const PGresult &result);
    void applyDueEntries();
    void closeAndRetry();
    void startTimer(double seconds);
    void watchSocket(int events);

    ev::loop_ref m_loop;
    group_member &m_member;
    options m_options;
    double m_lagSeconds = 0;
    std::unique_ptr<PGconn, connection_closer> m_connection;
    std::string m_address;
    bool m_connected = false;
    bool m_awaitsAnswer = false;
    double m_pullSentAt = 0;
    double m_caughtUpAt = -1;
    double m_deadline = 0;
    std::deque<delayed_apply> m_delayedApplies;
    ev::timer m_timer;
    ev::io m_io;
};

} // namespace standin

#endif
