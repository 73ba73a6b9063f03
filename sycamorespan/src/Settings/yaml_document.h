#ifndef SYCAMORESPAN_SETTINGS_YAML_DOCUMENT_H
#define SYCAMORESPAN_SETTINGS_YAML_DOCUMENT_H

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Schema/decode_errors.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace sycamorespan::settings {

/** \brief Every error of a file, one a line, each with file, line and field. */
class file_error : public error
{
public:
    using error::error;
};

/** \brief A YAML text as JSON that remembers the line of each field.
 *
 * Plain scalars are null, true, false, integers or numbers as in YAML 1.2's core schema, else
 * strings; quoted scalars are strings.
 */
class yaml_document
{
public:
    /** \param text      the YAML text
     * \param fileName  named in errors
     * \throws file_error if \a text is not YAML, has a key twice, or is too large or deep
     */
    yaml_document(const std::string &text, std::string fileName);

    const nlohmann::json &root() const noexcept { return m_root; }

    /** \returns the line of \a path, or of the innermost field around it that exists; from 1. */
    std::size_t line(const std::string &path) const;

    /** \brief Throws file_error with the place of every error, if there is any. */
    void throwIfAny(const schema::decode_errors &errors) const;

private:
    std::string m_fileName;
    nlohmann::json m_root;
    std::map<std::string, std::size_t> m_lines;
};

} // namespace sycamorespan::settings

#endif
