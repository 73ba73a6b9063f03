#ifndef SYCAMORESPAN_PROTOCOL_FRONTEND_MESSAGES_H
#define SYCAMORESPAN_PROTOCOL_FRONTEND_MESSAGES_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sycamorespan/src/Protocol/frame_decoder.h"

namespace sycamorespan {

struct ssl_request
{
    bool operator==(const ssl_request &) const = default;
};

struct gss_request
{
    bool operator==(const gss_request &) const = default;
};

struct cancel_request
{
    std::int32_t processId = 0;
    std::int32_t secret = 0;
    bool operator==(const cancel_request &) const = default;
};

struct startup_message
{
    std::int16_t majorVersion = 3;
    std::int16_t minorVersion = 0;
    std::map<std::string, std::string> parameters;
    bool operator==(const startup_message &) const = default;
};

/** \brief Startup message: the first message on a connection. */
using startup_request = std::variant<ssl_request, gss_request, cancel_request, startup_message>;

struct password_message
{
    std::string password;
    bool operator==(const password_message &) const = default;
};

struct query_message
{
    std::string text;
    bool operator==(const query_message &) const = default;
};

struct parse_message
{
    std::string statement;
    std::string text;
    std::vector<std::uint32_t> parameterTypes;
    bool operator==(const parse_message &) const = default;
};

struct bind_message
{
    std::string portal;
    std::string statement;
    std::vector<std::int16_t> parameterFormats;
    std::vector<std::optional<std::string>> parameters;
    std::vector<std::int16_t> resultFormats;
    bool operator==(const bind_message &) const = default;
};

/** \brief Kind of object that a Describe or Close message refers to. */
enum class target_kind { statement, portal };

struct describe_message
{
    target_kind kind = target_kind::statement;
    std::string name;
    bool operator==(const describe_message &) const = default;
};

struct execute_message
{
    std::string portal;
    /** Maximum number of rows to return; 0 means no limit. */
    std::int32_t maximumRows = 0;
    bool operator==(const execute_message &) const = default;
};

struct close_message
{
    target_kind kind = target_kind::statement;
    std::string name;
    bool operator==(const close_message &) const = default;
};

struct sync_message
{
    bool operator==(const sync_message &) const = default;
};

struct flush_message
{
    bool operator==(const flush_message &) const = default;
};

struct terminate_message
{
    bool operator==(const terminate_message &) const = default;
};

/** \brief Known message that is not supported: COPY data and function calls. */
struct unsupported_message
{
    char type = 0;
    bool operator==(const unsupported_message &) const = default;
};

using frontend_message =
        std::variant<password_message, query_message, parse_message, bind_message, describe_message,
                     execute_message, close_message, sync_message, flush_message, terminate_message,
                     unsupported_message>;

/** \throws decode_error when \a payload is malformed or of an unknown type. */
startup_request decodeStartup(const frame &payload);

/** \throws decode_error when \a message is malformed or of an unknown type. */
frontend_message decodeFrontend(const frame &message);

} // namespace sycamorespan

#endif
