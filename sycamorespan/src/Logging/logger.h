#ifndef SYCAMORESPAN_LOGGING_LOGGER_H
#define SYCAMORESPAN_LOGGING_LOGGER_H

#include "sycamorespan/src/Settings/generated/common_types.h"

#include <boost/log/sources/severity_logger.hpp>

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief Severity of a log line, ascending. */
using settings::log_level;

/** \brief Named value in a log line. It must never contain a caller's key. */
struct log_field
{
    std::string name;
    std::string value;

    auto operator<=>(const log_field &) const = default;
};

/** \brief Writes the log lines of one component of a process through Boost.Log.
 *
 * Log lines report changes of state. Frequent events are counted in metrics instead.
 */
class logger
{
public:
    /** \param component  name of the component, which is written in each line */
    explicit logger(const std::string &component);

    /** \brief Writes one line.
     * \param level   severity of the line
     * \param event   description of the event, a constant text
     * \param fields  details of the event
     */
    void write(log_level level, std::string_view event, const std::vector<log_field> &fields = {});

private:
    boost::log::sources::severity_logger<log_level> m_source;
};

/** \brief Configures the process to log to \a stream, which must stay valid as long as lines are
 * written. Replaces an earlier configuration.
 */
void setUpLogging(const settings::log_settings &logSettings, std::ostream &stream);

} // namespace sycamorespan

#endif
