#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_DIFF_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_DIFF_H

#include "sycamorespan/src/Configuration/configuration_document.h"

#include <string>
#include <vector>

namespace sycamorespan::configuration {

/** \brief Field that differs between two documents. Values are JSON text, empty for an absent
 * field. */
struct configuration_change
{
    std::string path; /**< e.g. \c /lists/plans/gold/burst */
    std::string before;
    std::string after;

    bool operator==(const configuration_change &) const = default;
};

/** \returns the fields that differ, ordered by path. Only the identifiers of keys are compared and
 * shown. Secrets, versions and the list of edits are left out.
 */
std::vector<configuration_change> diffDocuments(const configuration_document &before,
                                                const configuration_document &after);

} // namespace sycamorespan::configuration

#endif
