#include "sycamorespan/src/Net/internal/web_codec.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace sycamorespan::internal {

namespace {

/** \brief Configuration of websocketpp without locks and log lines. It is used by one thread, and
 * web_connection counts the events.
 */
template<typename Base>
struct single_thread_config : Base
{
    using type = single_thread_config;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type =
            websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;

    struct transport_config : Base::transport_config
    {
        using concurrency_type = typename type::concurrency_type;
        using elog_type = typename type::elog_type;
        using alog_type = typename type::alog_type;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
};

using server_endpoint = websocketpp::server<single_thread_config<websocketpp::config::core>>;
using client_endpoint = websocketpp::client<single_thread_config<websocketpp::config::core_client>>;

template<typename Endpoint>
class endpoint_adapter
{
public:
    using connection_pointer = typename Endpoint::connection_ptr;
    using message_pointer = typename Endpoint::message_ptr;

    endpoint_adapter(std::size_t maxMessageBytes, web_codec_events events)
        : m_events(std::move(events))
        , m_maxMessageBytes(maxMessageBytes)
    { }

    ~endpoint_adapter()
    {
        if (!m_connection)
            return;
        m_connection->set_write_handler({});
        m_connection->set_shutdown_handler({});
        // Drops the pending read handler, which holds a reference to the connection.
        m_connection->fatal_error();
    }

    endpoint_adapter(const endpoint_adapter &) = delete;
    endpoint_adapter &operator=(const endpoint_adapter &) = delete;

    void start(const std::string &host)
    {
        if constexpr (std::is_same_v<Endpoint, client_endpoint>) {
            websocketpp::lib::error_code failure;
            configure(m_endpoint.get_connection("ws://" + host + "/", failure));
            m_endpoint.connect(m_connection);
        } else {
            configure(m_endpoint.get_connection());
            m_connection->start();
        }
    }

    std::size_t receive(std::string_view bytes)
    {
        return m_connection->read_all(bytes.data(), bytes.size());
    }

    bool send(std::string_view message)
    {
        return isOpen()
               && !m_connection->send(message.data(), message.size(),
                                      websocketpp::frame::opcode::binary);
    }

    void ping()
    {
        websocketpp::lib::error_code failure;
        m_connection->ping(std::string(), failure);
    }

    void respond(const http_response &response)
    {
        m_connection->set_status(
                static_cast<websocketpp::http::status_code::value>(response.status));
        m_connection->replace_header("Content-Type", response.contentType);
        m_connection->replace_header("Connection", "close");
        m_connection->set_body(response.body);
        websocketpp::lib::error_code failure;
        m_connection->send_http_response(failure);
    }

    void close(std::string_view reason)
    {
        websocketpp::lib::error_code failure;
        m_connection->close(websocketpp::close::status::normal, std::string(reason), failure);
    }

    bool isOpen() const
    {
        return m_connection && m_connection->get_state() == websocketpp::session::state::open;
    }

private:
    void configure(connection_pointer connection)
    {
        m_connection = std::move(connection);
        m_connection->set_max_message_size(m_maxMessageBytes);
        m_connection->set_max_http_body_size(m_maxMessageBytes);
        m_connection->set_write_handler([this](const auto &, const char *bytes, std::size_t size) {
            m_events.write({bytes, size});
            return websocketpp::lib::error_code();
        });
        m_connection->set_shutdown_handler([this](const auto &) {
            m_events.finished();
            return websocketpp::lib::error_code();
        });
        m_connection->set_open_handler([this](const auto &) { m_events.opened(); });
        m_connection->set_message_handler(
                [this](const auto &, const message_pointer &message) { deliverMessage(message); });
        m_connection->set_http_handler([this](const auto &) { deliverRequest(); });
    }

    void deliverMessage(const message_pointer &message)
    {
        if (message->get_opcode() == websocketpp::frame::opcode::binary) {
            m_events.message(message->get_payload());
            return;
        }
        websocketpp::lib::error_code failure;
        m_connection->close(websocketpp::close::status::unsupported_data, "binary only", failure);
    }

    void deliverRequest()
    {
        m_connection->defer_http_response();
        const auto &request = m_connection->get_request();
        m_events.request({request.get_method(), request.get_uri(), request.get_body()});
    }

    web_codec_events m_events;
    std::size_t m_maxMessageBytes;
    // Declared before the connection, so that it is destroyed after it: the connection refers to
    // the endpoint's random number generator.
    Endpoint m_endpoint;
    connection_pointer m_connection;
};

} // namespace

class web_codec::implementation
{
public:
    implementation(web_role role, std::string host, std::size_t maxMessageBytes,
                   web_codec_events events)
        : m_host(std::move(host))
    {
        if (role == web_role::server)
            m_adapter.emplace<endpoint_adapter<server_endpoint>>(maxMessageBytes,
                                                                 std::move(events));
        else
            m_adapter.emplace<endpoint_adapter<client_endpoint>>(maxMessageBytes,
                                                                 std::move(events));
    }

    const std::string &host() const { return m_host; }

    template<typename Function>
    auto visit(Function function)
    {
        using result = decltype(function(std::get<1>(m_adapter)));
        if (auto *server = std::get_if<endpoint_adapter<server_endpoint>>(&m_adapter))
            return static_cast<result>(function(*server));
        return static_cast<result>(
                function(std::get<endpoint_adapter<client_endpoint>>(m_adapter)));
    }

private:
    std::string m_host;
    std::variant<std::monostate, endpoint_adapter<server_endpoint>,
                 endpoint_adapter<client_endpoint>>
            m_adapter;
};

web_codec::web_codec(web_role role, const std::string &host, std::size_t maxMessageBytes,
                     web_codec_events events)
    : m_implementation(
            std::make_unique<implementation>(role, host, maxMessageBytes, std::move(events)))
{ }

web_codec::~web_codec() = default;

void web_codec::start()
{
    m_implementation->visit([this](auto &adapter) { adapter.start(m_implementation->host()); });
}

std::size_t web_codec::receive(std::string_view bytes)
{
    return m_implementation->visit([&](auto &adapter) { return adapter.receive(bytes); });
}

bool web_codec::send(std::string_view message)
{
    return m_implementation->visit([&](auto &adapter) { return adapter.send(message); });
}

void web_codec::ping()
{
    m_implementation->visit([](auto &adapter) { adapter.ping(); });
}

void web_codec::respond(const http_response &response)
{
    m_implementation->visit([&](auto &adapter) { adapter.respond(response); });
}

void web_codec::close(std::string_view reason)
{
    m_implementation->visit([&](auto &adapter) { adapter.close(reason); });
}

bool web_codec::isOpen() const
{
    return m_implementation->visit([](auto &adapter) { return adapter.isOpen(); });
}

} // namespace sycamorespan::internal
