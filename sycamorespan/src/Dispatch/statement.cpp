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

bool isWorthRepeating(statement_error code)
{
    return code != statement_error::malformed && code != statement_error::tooLarge;
}

std::string describe(const rejected &error)
{
    std::string result(nameOf(error.code));
    return error.text.empty() ? result : result + ": " + error.text;
}

} // namespace sycamorespan
