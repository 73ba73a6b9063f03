#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_HOLDER_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_HOLDER_H

#include "sycamorespan/src/Configuration/configuration_document.h"

#include <memory>
#include <string>

namespace sycamorespan::configuration {

/** \brief Holds the version in force in a process, which never decreases. */
class configuration_holder
{
public:
    /** \brief Puts a version in force if its body is valid and it is higher than the one in force.
     * \param version  the version that the sender gave for \a body
     * \param body     JSON text of a document
     * \returns whether it was put in force
     */
    bool offer(configuration_version version, const std::string &body);

    configuration_version version() const noexcept { return m_version; }

    /** \returns the document in force; null before the first one. */
    const std::shared_ptr<const configuration_document> &document() const noexcept
    {
        return m_document;
    }

    /** \returns the JSON text of the document in force. */
    const std::string &body() const noexcept { return m_body; }

    /** \returns the name of the body in the object store. */
    const std::string &object() const noexcept { return m_object; }

    /** \returns the number of bodies that were rejected as invalid. */
    std::uint64_t rejectedBodies() const noexcept { return m_refusedBodies; }

private:
    configuration_version m_version = 0;
    std::shared_ptr<const configuration_document> m_document;
    std::string m_body;
    std::string m_object;
    std::uint64_t m_refusedBodies = 0;
};

} // namespace sycamorespan::configuration

#endif
