#ifndef SYCAMORESPAN_PROGRAMS_AGENT_PROCESS_LINK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_PROCESS_LINK_H

#include "sycamorespan/Messages"
#include "sycamorespan/Net"

#include <functional>

namespace sycamorespan::agent {

/** \brief An open connection to another process, which has said who it is. */
class process_link
{
public:
    process_link(messages::hello remote, web_session session);

    /** \returns who the other process is. */
    const messages::hello &remote() const { return m_remote; }

    /** \returns a number that is unique among links of the same direction. */
    std::uint64_t id() const { return m_session.id(); }

    /** \returns false when the connection is gone */
    bool send(const messages::message &message) const;

    /** \brief Closes the connection. */
    void close(std::string_view reason) const { m_session.close(reason); }

private:
    messages::hello m_remote;
    web_session m_session;
};

/** \brief Receivers of what happens on links. */
struct link_handlers
{
    std::function<void(const process_link &)> connected;
    std::function<void(const process_link &, const messages::message &)> received;
    std::function<void(const process_link &)> disconnected;
};

/** \brief Sends \a message over a connection that may not have said hello yet. */
bool sendMessage(const web_session &session, const messages::message &message);

/** \throws decode_error when \a bytes is no message */
messages::message receivedMessage(std::string_view bytes);

/** \returns the bounds on connections between the system's processes.
 * \param pingInterval  silence after which the other process is pinged
 * \param idleTimeout   silence after which the connection is closed
 */
web_limits linkLimits(duration pingInterval, duration idleTimeout);

} // namespace sycamorespan::agent

#endif
