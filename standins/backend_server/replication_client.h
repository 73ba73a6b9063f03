#ifndef STANDIN_BACKEND_SERVER_REPLICATION_CLIENT_H
#define STANDIN_BACKEND_SERVER_REPLICATION_CLIENT_H

#include <deque>
#include <memory>
#include <string>

#include <ev++.h>
#include <libpq-fe.h>

#include "group_member.h"

namespace standin {

/** \brief Pulls the log of the primary that the member follows. */
class replication_client
{
public:
    struct options
    {
        std::string password;
        /** Pause between two pulls that found nothing new. */
        double pollSeconds = 0.001;
    };

    replication_client(ev::loop_ref loop, group_member &member, options settings);

    /** \brief Entries are applied this much later than they arrive. */
    void setLag(double seconds) { m_lagSeconds = seconds; }

    /** \returns the age of the state that the member shows, in milliseconds; -1 unknown. */
    std::int64_t stalenessMs() const;

    /** \brief Drops the connection; a member that follows another primary calls this. */
    void reset();

private:
    struct connection_closer
    {
        void operator()(PGconn *connection) const { PQfinish(connection); }
    };
    struct delayed_apply
    {
        double due = 0;
        double pulledAt = 0;
        std::uint64_t offset = 0;
        bool reachesEnd = false;
    };

    void onTimer(ev::timer &watcher, int events);
    void onReady(ev::io &watcher, int events);
    void connect();
    void continueConnecting();
    void sendPull();
    void readAnswer();
    void takeBatch(const PGresult &result);
    void applyDue();
    void fail();
    void schedule(double seconds);
    void watch(int events);

    ev::loop_ref m_loop;
    group_member &m_member;
    options m_options;
    double m_lagSeconds = 0;
    std::unique_ptr<PGconn, connection_closer> m_connection;
    std::string m_address;
    bool m_connected = false;
    bool m_waiting = false;
    double m_pullSentAt = 0;
    double m_caughtUpAt = -1;
    double m_deadline = 0;
    std::deque<delayed_apply> m_delayed;
    ev::timer m_timer;
    ev::io m_io;
};

} // namespace standin

#endif
