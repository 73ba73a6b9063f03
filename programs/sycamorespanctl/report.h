#ifndef SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_REPORT_H
#define SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_REPORT_H

#include "sycamorespan/Configuration"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace sycamorespan::ctl {

/** \brief Exit statuses of the tool, documented in the output of --help. */
enum class exit_status {
    success = 0,
    failure = 1, /**< nothing was changed */
    usage = 2, /**< options, settings or a file are not valid */
    conflict = 3, /**< another edit came first */
    unknown = 4, /**< the edit may have been accepted */
    notInForce = 5 /**< some process doesn't have the accepted version */
};

/** \brief The result of a command, as text and as JSON. */
struct report
{
    exit_status status = exit_status::success;
    std::string text; /**< printed by default; its lines end with line breaks */
    nlohmann::json json; /**< printed with --json */
};

/** \returns \a changes as text, one change per line. */
std::string describe(const std::vector<configuration::configuration_change> &changes);

nlohmann::json toJson(const std::vector<configuration::configuration_change> &changes);

/** \returns the report on the final result of an edit. */
report reportEdit(const configuration::edit_action &result);

} // namespace sycamorespan::ctl

#endif
