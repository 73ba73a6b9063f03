#ifndef SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_COMMANDS_H
#define SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_COMMANDS_H

#include "programs/sycamorespanctl/platform_store.h"
#include "programs/sycamorespanctl/report.h"

#include "sycamorespan/Settings"

#include <optional>
#include <string>

namespace sycamorespan::ctl {

/** \brief Implements the commands of the tool; each returns one report. */
class commands
{
public:
    /** \param settings  addresses and request timeout
     * \param random    cryptographic random source for keys and identifiers
     */
    commands(const settings::ctl_settings &settings, random_source random);

    /** \brief Creates version 1 of the configuration from the lists in the file \a fileName. */
    report init(const std::string &fileName) const;
    report showLists() const;

    /** \brief Replaces the lists by those in \a fileName.
     * \param expected  version that the file is based on; the current version if it is absent
     * \param isDryRun  whether to report the changes without making them
     */
    report edit(const std::string &fileName,
                std::optional<configuration::configuration_version> expected, bool isDryRun) const;
    report grantKey(const workspace_id &workspace) const;
    report withdrawKey(const workspace_id &workspace, const std::string &key) const;
    report listKeys() const;

    /** \brief Queries every agent and proxy for the version that it has in force. */
    report inForce() const;

    /** \brief Reports the state of the process whose admin port is at \a address. */
    report state(const std::string &address) const;

    /** \brief Requests a graceful shutdown of the process whose admin port is at \a address. */
    report drain(const std::string &address) const;

private:
    configuration::edit_action run(configuration::edit_request request) const;
    std::string newRequestId() const;
    std::optional<nlohmann::json> stateOf(const std::string &address) const;

    settings::ctl_settings m_settings;
    random_source m_random;
    platform_store m_store;
};

} // namespace sycamorespan::ctl

#endif
