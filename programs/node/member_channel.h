#ifndef SYCAMORESPAN_PROGRAMS_NODE_MEMBER_CHANNEL_H
#define SYCAMORESPAN_PROGRAMS_NODE_MEMBER_CHANNEL_H

#include "platform/member_codec.h"

#include "sycamorespan/src/Net/byte_stream.h"
#include "sycamorespan/src/Net/endpoint.h"

#include <functional>
#include <memory>

namespace sycamorespan::node {

/** \brief Why a connection to a member ended. */
struct channel_end
{
    std::optional<statement_error> refusal; ///< by the member, if it gave a reason
    bool nobodyListens = false; ///< at its address
};

/** \brief The socket of one connection to a member. */
class member_channel
{
public:
    struct handlers
    {
        std::function<void(std::optional<log_position>)> onOpened;
        std::function<void(const statement_answer &)> onAnswer;
        std::function<void(const channel_end &)> onClosed; ///< it broke or was refused
    };

    /** \throws error when the connection fails at once */
    member_channel(ev::loop_ref loop, const endpoint &address, const database_id &database,
                   const workspace_id &workspace, const server_id &server, handlers callbacks);

    void send(const std::vector<outgoing_statement> &statements);

    /** \brief Closes without a call of onClosed. */
    void close();

private:
    void handleBytes(std::string_view bytes);
    void handleClosed();

    handlers m_handlers;
    platform::answer_reader m_answers;
    bool m_opened = false;
    bool m_closed = false;
    std::unique_ptr<byte_stream> m_stream;
};

} // namespace sycamorespan::node

#endif
