#ifndef SYCAMORESPAN_SESSION_SESSION_OPTIONS_H
#define SYCAMORESPAN_SESSION_SESSION_OPTIONS_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sycamorespan/src/Core/time_types.h"

namespace sycamorespan {

/** \brief Name of the parameter with the session's signed log position. */
inline constexpr std::string_view positionParameter = "sycamorespan.position";
/** \brief Name of the parameter with the staleness that the session's reads allow. */
inline constexpr std::string_view maxStalenessParameter = "sycamorespan.max_staleness";

/** \brief Parses the startup parameter "options", a list of "-c name=value" or "--name=value".
 * \throws decode_error if \a text has another form
 */
std::map<std::string, std::string> parseSessionOptions(std::string_view text);

/** \brief Parses a time in the format of PostgreSQL's settings: "250ms", "5s", "2min", "1500"
 * (milliseconds).
 * \returns nothing if \a text is not such a time
 */
std::optional<duration> parseInterval(std::string_view text);

} // namespace sycamorespan

#endif
