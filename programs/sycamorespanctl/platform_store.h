#ifndef SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_PLATFORM_STORE_H
#define SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_PLATFORM_STORE_H

#include "sycamorespan/Configuration"
#include "sycamorespan/src/Net/table_transaction.h"

#include <chrono>
#include <optional>
#include <string>

namespace sycamorespan::ctl {

/** \brief The platform's table and object store, with one request at a time. */
class platform_store
{
public:
    /** \param baseUrl  of the platform's service
     * \param timeout  bound on each request
     */
    platform_store(std::string baseUrl, std::chrono::milliseconds timeout);

    /** \returns how the table answered, and the row of the configuration if it exists. */
    std::pair<configuration::store_result, std::optional<configuration::fetched_row>>
    readRow() const;

    /** \returns how the table answered to a write of the row. */
    configuration::store_result
    compareAndSetRow(const configuration::compare_and_set_row &write) const;

    /** \returns a body; nothing if there is no answer. */
    std::optional<std::string> readObject(const std::string &name) const;

    configuration::store_result writeObject(const configuration::store_body &object) const;

    /** \returns the document in force at the platform; version 0 if there is none.
     * \throws error if the platform doesn't answer
     */
    configuration::configuration_document currentDocument() const;

private:
    std::optional<table_result> run(const table_transaction &transaction) const;

    std::string m_baseUrl;
    std::chrono::milliseconds m_timeout;
};

/** \brief Carries \a request to its result. \sa configuration::configuration_editor */
configuration::edit_action runEdit(const platform_store &store, configuration::edit_request request,
                                   std::chrono::milliseconds deadline);

} // namespace sycamorespan::ctl

#endif
