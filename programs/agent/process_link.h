#ifndef SYCAMORESPAN_PROGRAMS_AGENT_PROCESS_LINK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_PROCESS_LINK_H

#include "sycamorespan/Messages"
#include "sycamorespan/Net"

#include <functional>

namespace sycamorespan::agent {

/** \brief An open connection to another process that has identified itself with a hello. */
class process_link
{
public:
    process_link(messages::hello remote, web_session session);

    /** \returns the hello of the other process. */
    const messages::hello &remote() const { return m_remote; }

    /** \returns the number of the link, unique among the links of the same direction. */
    std::uint64_t id() const { return m_session.id(); }

    /** \brief Sends \a message to the other process.
     * \returns false when the connection is closed
     */
    bool send(const messages::message &message) const;

    /** \brief Closes the connection. */
    void close(std::string_view reason) const { m_session.close(reason); }

private:
    messages::hello m_remote;
    web_session m_session;
};

/** \brief Handlers of the events on links. */
struct link_handlers
{
    std::function<void(const process_link &)> onConnected;
    std::function<void(const process_link &, const messages::message &)> onMessage;
    std::function<void(const process_link &)> onDisconnected;
};

/** \brief Sends \a message over a connection, also before a hello was received on it.
 * \returns false when the connection is closed
 */
bool sendMessage(const web_session &session, const messages::message &message);

/** \brief Decodes a message.
 * \throws decode_error when \a bytes is not a valid message
 */
messages::message decodeLinkMessage(std::string_view bytes);

/** \returns the limits of connections between the system's processes.
 * \param pingInterval  time without received data after which the other process is pinged
 * \param idleTimeout   time without received data after which the connection is closed
 */
web_limits linkLimits(duration pingInterval, duration idleTimeout);

} // namespace sycamorespan::agent

#endif
