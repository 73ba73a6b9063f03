#include "sycamorespan/src/Dispatch/statement.h"

#include <array>

namespace sycamorespan {

std::string_view nameOf(statement_error code)
{
    static constexpr std::array<std::string_view, 14> names{
            "busy",      "aborted",          "lagging",          "read_only",
            "moved",     "connection_limit", "unknown_prepared", "malformed",
            "too_large", "unknown_key",      "unknown_database", "failed",
            "timeout",   "in_doubt"};
    return names.at(static_cast<std::size_t>(code));
}

} // namespace sycamorespan
