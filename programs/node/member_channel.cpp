#include "programs/node/member_channel.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace sycamorespan::node {

namespace {

/** Time after which the connection to an unreachable member is closed, also without traffic. */
constexpr duration unresponsiveTimeout = 3s;

} // namespace

member_channel::member_channel(ev::loop_ref loop, const endpoint &address,
                               const database_id &database, const workspace_id &workspace,
                               const server_id &server, handlers callbacks, answer_intake *intake)
    : m_intake(intake)
    , m_number(intake ? intake->add() : 0)
    , m_handlers(std::move(callbacks))
{
    auto socket = connectTo(address);
    detectSilence(socket, unresponsiveTimeout);
    m_stream = std::make_unique<byte_stream>(
            loop, std::move(socket),
            byte_stream::handlers{[this](std::string_view bytes) { handleBytes(bytes); },
                                  [this] { handleClosed(); }});
    m_stream->write(platform::encodeConnect(database, workspace, server));
}

void member_channel::send(const std::vector<outgoing_statement> &statements)
{
    std::string lines;
    std::ranges::for_each(statements, [&](const outgoing_statement &each) {
        lines += platform::encodeStatement(each);
    });
    m_stream->write(lines);
}

void member_channel::close()
{
    if (std::exchange(m_closed, true))
        return;
    // Statements that have not been sent must not reach the member later.
    m_stream->abandon();
    leaveIntake();
}

void member_channel::handleBytes(std::string_view bytes)
{
    if (m_closed)
        return;
    m_answers.append(bytes);
    handleAnswers();
    if (!m_closed && m_intake)
        m_intake->changed(m_number, *m_stream, m_answers.heldBytes());
}

void member_channel::handleAnswers()
{
    try {
        while (const auto answer = m_answers.next()) {
            if (!std::exchange(m_opened, true)) {
                if (answer->succeeded())
                    m_handlers.onOpened(answer->position);
                else
                    return handleClosed();
            } else {
                m_handlers.onAnswer(*answer);
            }
            if (m_closed)
                return;
        }
    } catch (const decode_error &) {
        handleClosed();
    }
}

void member_channel::leaveIntake()
{
    if (m_intake)
        m_intake->remove(m_number);
}

void member_channel::handleClosed()
{
    if (std::exchange(m_closed, true))
        return;
    const bool isConnectionRefused = !m_opened && m_stream->failure() == ECONNREFUSED;
    m_stream->abandon();
    leaveIntake();
    m_handlers.onClosed({m_opened ? std::nullopt : m_answers.refusal(), isConnectionRefused});
}

} // namespace sycamorespan::node
