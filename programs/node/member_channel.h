#ifndef SYCAMORESPAN_PROGRAMS_NODE_MEMBER_CHANNEL_H
#define SYCAMORESPAN_PROGRAMS_NODE_MEMBER_CHANNEL_H

#include "platform/member_codec.h"

#include "programs/node/answer_intake.h"

#include "sycamorespan/src/Net/byte_stream.h"
#include "sycamorespan/src/Net/endpoint.h"

#include <functional>
#include <memory>

namespace sycamorespan::node {

/** \brief Why a connection to a member ended. */
struct channel_end
{
    std::optional<statement_error> refusal; ///< why the member refused the connection, if it did
    bool isConnectionRefused = false; ///< no process listens at the address of the member
};

/** \brief One connection to a member: sends statements and decodes the answers. */
class member_channel
{
public:
    struct handlers
    {
        std::function<void(std::optional<log_position>)> onOpened;
        std::function<void(const statement_answer &)> onAnswer;
        /** Called once, when the connection is lost or refused. */
        std::function<void(const channel_end &)> onClosed;
    };

    /** \param intake  limits the incomplete answers of all connections; null: not limited
     * \throws error when the connection cannot be started
     */
    member_channel(ev::loop_ref loop, const endpoint &address, const database_id &database,
                   const workspace_id &workspace, const server_id &server, handlers callbacks,
                   answer_intake *intake = nullptr);
    ~member_channel() { leaveIntake(); }
    member_channel(const member_channel &) = delete;
    member_channel &operator=(const member_channel &) = delete;

    void send(const std::vector<outgoing_statement> &statements);

    /** \brief Closes the connection without calling onClosed. */
    void close();

private:
    void handleBytes(std::string_view bytes);
    void handleAnswers();
    void handleClosed();
    void leaveIntake();

    answer_intake *m_intake;
    std::uint64_t m_number; ///< of the connection, at the intake
    handlers m_handlers;
    platform::answer_reader m_answers;
    bool m_opened = false;
    bool m_closed = false;
    std::unique_ptr<byte_stream> m_stream;
};

} // namespace sycamorespan::node

#endif
