#ifndef SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_PLATFORM_STORE_H
#define SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_PLATFORM_STORE_H

#include "sycamorespan/Configuration"
#include "sycamorespan/src/Net/table_transaction.h"

#include <chrono>
#include <optional>
#include <string>

namespace sycamorespan::ctl {

/** \brief Blocking client of the platform's table service and object store. */
class platform_store
{
public:
    /** \param baseUrl  scheme, address and port of the platform's service
     * \param timeout  timeout of each request
     */
    platform_store(std::string baseUrl, std::chrono::milliseconds timeout);

    /** \brief Reads the row of the configuration.
     * \returns the result of the read, and the row if it exists
     */
    std::pair<configuration::store_result, std::optional<configuration::fetched_row>>
    readRow() const;

    /** \brief Writes the row of the configuration if its revision is the expected one.
     * \returns the result of the write
     */
    configuration::store_result
    compareAndSetRow(const configuration::compare_and_set_row &write) const;

    /** \returns the object \a name; nothing if the object store doesn't answer with it. */
    std::optional<std::string> readObject(const std::string &name) const;

    configuration::store_result writeObject(const configuration::store_body &object) const;

    /** \returns the current document of the platform; version 0 if there is none.
     * \throws error if the platform doesn't answer
     */
    configuration::configuration_document currentDocument() const;

private:
    std::optional<table_result> run(const table_transaction &transaction) const;

    std::string m_baseUrl;
    std::chrono::milliseconds m_timeout;
};

/** \brief Runs a configuration_editor for \a request until it has a final result.
 * \param deadline  longest time for the whole edit
 * \sa configuration::configuration_editor
 */
configuration::edit_action runEdit(const platform_store &store, configuration::edit_request request,
                                   std::chrono::milliseconds deadline);

} // namespace sycamorespan::ctl

#endif
