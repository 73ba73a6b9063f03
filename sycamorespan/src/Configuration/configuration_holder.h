#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_HOLDER_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_HOLDER_H

#include "sycamorespan/src/Configuration/configuration_document.h"

#include <memory>
#include <string>

namespace sycamorespan::configuration {

/** \brief The version in force in a process; it only rises. */
class configuration_holder
{
public:
    /** \brief Takes the body of a version if it is valid and higher than the one in force.
     * \param version  the version that \a body is said to be
     * \param body     JSON text of a document
     * \returns whether it is in force now
     */
    bool offer(configuration_version version, const std::string &body);

    configuration_version version() const noexcept { return m_version; }

    /** \returns the document in force; null before the first. */
    const std::shared_ptr<const configuration_document> &document() const noexcept
    {
        return m_document;
    }

    /** \returns the JSON text of the document in force. */
    const std::string &body() const noexcept { return m_body; }

    /** \returns the name of the body in the object store. */
    const std::string &object() const noexcept { return m_object; }

    /** \returns the number of bodies that were not valid. */
    std::uint64_t refusedBodies() const noexcept { return m_refusedBodies; }

private:
    configuration_version m_version = 0;
    std::shared_ptr<const configuration_document> m_document;
    std::string m_body;
    std::string m_object;
    std::uint64_t m_refusedBodies = 0;
};

} // namespace sycamorespan::configuration

#endif
