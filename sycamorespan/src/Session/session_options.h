#ifndef SYCAMORESPAN_SESSION_SESSION_OPTIONS_H
#define SYCAMORESPAN_SESSION_SESSION_OPTIONS_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sycamorespan/src/Core/time_types.h"

namespace sycamorespan {

/** \brief Names of the parameters that callers hand in and get back. */
inline constexpr std::string_view positionParameter = "sycamorespan.position";
inline constexpr std::string_view maxStalenessParameter = "sycamorespan.max_staleness";

/** \brief Reads the startup parameter "options": "-c name=value" or "--name=value" each.
 * \throws decode_error for anything else
 */
std::map<std::string, std::string> parseSessionOptions(std::string_view text);

/** \brief Reads a time as PostgreSQL's settings write it: "250ms", "5s", "2min", "1500"
 * (milliseconds).
 * \returns none when \a text is no such time
 */
std::optional<duration> parseInterval(std::string_view text);

} // namespace sycamorespan

#endif
