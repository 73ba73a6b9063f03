#ifndef SYCAMORESPAN_SETTINGS_CHECKED_FILE_H
#define SYCAMORESPAN_SETTINGS_CHECKED_FILE_H

#include "sycamorespan/src/Configuration/generated/document_types.h"
#include "sycamorespan/src/Settings/yaml_document.h"

#include <string>

namespace sycamorespan::settings {

/** \returns the content of the file \a fileName.
 * \throws file_error if it can't be read
 */
std::string readFile(const std::string &fileName);

/** \brief Decodes and validates \a text, a YAML document.
 * \tparam Settings  a type generated from schema/settings/
 * \throws file_error that names the file, line and field of every error
 */
template<typename Settings>
Settings parseSettings(const std::string &text, const std::string &fileName)
{
    const yaml_document document(text, fileName);
    schema::decode_errors errors;
    Settings result;
    fromJson(document.root(), "", errors, result);
    document.throwIfAny(errors);
    return result;
}

/** \brief Reads, decodes and validates the file \a fileName. \sa parseSettings() */
template<typename Settings>
Settings loadSettings(const std::string &fileName)
{
    return parseSettings<Settings>(readFile(fileName), fileName);
}

/** \brief Decodes and validates the operators' lists in \a text. \sa parseSettings() */
configuration::configuration_lists parseLists(const std::string &text, const std::string &fileName);

/** \brief Reads, decodes and validates the operators' lists in the file \a fileName.
 * \sa parseLists()
 */
configuration::configuration_lists loadLists(const std::string &fileName);

} // namespace sycamorespan::settings

#endif
