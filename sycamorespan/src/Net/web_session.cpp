#include "sycamorespan/src/Net/web_session.h"

#include "sycamorespan/src/Net/internal/web_connection.h"

#include <utility>

namespace sycamorespan {

web_session::web_session(std::uint64_t id, std::weak_ptr<internal::web_connection> connection)
    : m_id(id)
    , m_connection(std::move(connection))
{ }

bool web_session::send(std::string_view message) const
{
    const auto connection = m_connection.lock();
    return connection && connection->send(message);
}

void web_session::close(std::string_view reason) const
{
    if (const auto connection = m_connection.lock())
        connection->close(reason);
}

bool web_session::isOpen() const
{
    const auto connection = m_connection.lock();
    return connection && connection->isOpen();
}

endpoint web_session::remote() const
{
    const auto connection = m_connection.lock();
    return connection ? connection->remote() : endpoint{};
}

http_responder::http_responder(std::weak_ptr<internal::web_connection> connection)
    : m_connection(std::move(connection))
{ }

void http_responder::operator()(const http_response &response) const
{
    if (const auto connection = m_connection.lock())
        connection->respond(response);
}

void http_responder::drop() const
{
    if (const auto connection = m_connection.lock())
        connection->abort();
}

} // namespace sycamorespan
