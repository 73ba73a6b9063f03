#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_DIFF_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_DIFF_H

#include "sycamorespan/src/Configuration/configuration_document.h"

#include <string>
#include <vector>

namespace sycamorespan::configuration {

/** \brief One field that differs between two documents, as JSON text; empty where it is absent. */
struct configuration_change
{
    std::string path; /**< e.g. \c /lists/plans/gold/burst */
    std::string before;
    std::string after;

    bool operator==(const configuration_change &) const = default;
};

/** \returns the fields that differ, in order of their paths. Of keys only the identifiers are
 * compared and shown; secrets, versions and the list of edits are left out.
 */
std::vector<configuration_change> diffDocuments(const configuration_document &before,
                                                const configuration_document &after);

} // namespace sycamorespan::configuration

#endif
