#ifndef SYCAMORESPAN_LOGGING_LOGGER_H
#define SYCAMORESPAN_LOGGING_LOGGER_H

#include "sycamorespan/src/Settings/generated/common_types.h"

#include <boost/log/sources/severity_logger.hpp>

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief Weight of a log line, ascending. */
using settings::log_level;

/** \brief Named value of a log line. A caller's key never is one. */
struct log_field
{
    std::string name;
    std::string value;

    auto operator<=>(const log_field &) const = default;
};

/** \brief Writes log lines of one part of a process through Boost.Log. Lines are for changes of
 * state; what happens often is counted instead.
 */
class logger
{
public:
    /** \param component  the part's name, in each of its lines */
    explicit logger(const std::string &component);

    /** \brief Writes one line.
     * \param level   its weight
     * \param event   what changed, as fixed text
     * \param fields  its details
     */
    void write(log_level level, std::string_view event, const std::vector<log_field> &fields = {});

private:
    boost::log::sources::severity_logger<log_level> m_source;
};

/** \brief Makes the process log to \a stream, which must outlive it. Replaces an earlier set-up. */
void setUpLogging(const settings::log_settings &logSettings, std::ostream &stream);

} // namespace sycamorespan

#endif
