#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_DOCUMENT_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_DOCUMENT_H

#include "sycamorespan/src/Configuration/generated/document_types.h"
#include "sycamorespan/src/Schema/decode_errors.h"

#include <optional>
#include <string>

namespace sycamorespan::configuration {

/** \brief Number of an accepted configuration; 0 stands for none. */
using configuration_version = std::uint64_t;

/** \brief Checks what the schema can't express: names that refer to other entries, and duplicates.
 * \param lists   decoded lists
 * \param path    path of the lists in error messages; may be empty
 * \param errors  receives every error
 */
void validateLists(const configuration_lists &lists, const std::string &path,
                   schema::decode_errors &errors);

/** \brief Checks a whole document. \sa validateLists() */
void validateDocument(const configuration_document &document, schema::decode_errors &errors);

/** \returns the document in the JSON text \a body.
 * \throws decode_error that names every field in error
 */
configuration_document parseDocument(const std::string &body);

/** \returns \a document as JSON text; equal documents give equal texts. */
std::string serializeDocument(const configuration_document &document);

/** \brief Edits that a document remembers. */
inline constexpr std::size_t longestEditHistory = 64;

/** \returns the name under which the object store keeps the version that the edit \a request made.
 */
std::string objectName(configuration_version version, const std::string &request);

/** \returns the version that the edit \a request made, if \a document remembers it. */
std::optional<configuration_version> versionOfEdit(const configuration_document &document,
                                                   const std::string &request);

/** \returns the row in the JSON text \a value. \throws decode_error */
configuration_row parseRow(const std::string &value);

/** \returns \a row as JSON text. */
std::string serializeRow(const configuration_row &row);

} // namespace sycamorespan::configuration

#endif
