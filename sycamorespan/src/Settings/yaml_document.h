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

/** \brief Thrown for an invalid file; names the file, line and field of each error, one per line.
 */
class file_error : public error
{
public:
    using error::error;
};

/** \brief A YAML text converted to JSON, with the line number of each field.
 *
 * A plain scalar becomes null, true, false, an integer or a number as in the core schema of
 * YAML 1.2, and otherwise a string. A quoted scalar becomes a string.
 */
class yaml_document
{
public:
    /** \param text      the YAML text
     * \param fileName  the name of the file in errors
     * \throws file_error if \a text is not YAML, has a duplicate key, is too large or nested too
     * deep
     */
    yaml_document(const std::string &text, std::string fileName);

    const nlohmann::json &root() const noexcept { return m_root; }

    /** \returns the line number, from 1, of \a path or else of its innermost parent that exists. */
    std::size_t line(const std::string &path) const;

    /** \brief Throws a file_error that locates every error in \a errors, if there is any. */
    void throwIfAny(const schema::decode_errors &errors) const;

private:
    std::string m_fileName;
    nlohmann::json m_root;
    std::map<std::string, std::size_t> m_lines;
};

} // namespace sycamorespan::settings

#endif
