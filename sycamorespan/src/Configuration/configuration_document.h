#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_DOCUMENT_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_DOCUMENT_H

#include "sycamorespan/src/Configuration/generated/document_types.h"
#include "sycamorespan/src/Schema/decode_errors.h"

#include <optional>
#include <string>

namespace sycamorespan::configuration {

/** \brief Version number of an accepted configuration; 0 stands for none. */
using configuration_version = std::uint64_t;

/** \brief Checks the constraints that the schema can't express, such as references to other entries
 * and the absence of duplicates.
 * \param lists   the decoded lists
 * \param path    path of the lists in error messages; may be empty
 * \param errors  receives every error
 */
void validateLists(const configuration_lists &lists, const std::string &path,
                   schema::decode_errors &errors);

/** \brief Checks the constraints on a document that the schema can't express. \sa validateLists()
 */
void validateDocument(const configuration_document &document, schema::decode_errors &errors);

/** \brief Decodes and validates the document in the JSON text \a body.
 * \throws decode_error that names every field in error
 */
configuration_document parseDocument(const std::string &body);

/** \returns \a document as JSON text; equal documents give equal texts. */
std::string serializeDocument(const configuration_document &document);

/** \brief Number of recent edits that a document lists. */
inline constexpr std::size_t maxRecentEdits = 64;

/** \returns the name of the object that holds the body of the version that the edit \a request
 * created.
 */
std::string objectName(configuration_version version, const std::string &request);

/** \returns the version that the edit \a request created, if \a document lists it as a recent edit.
 */
std::optional<configuration_version> versionOfEdit(const configuration_document &document,
                                                   const std::string &request);

/** \brief Decodes the row in the JSON text \a value.
 * \throws decode_error that names every field in error
 */
configuration_row parseRow(const std::string &value);

/** \returns \a row as JSON text. */
std::string serializeRow(const configuration_row &row);

} // namespace sycamorespan::configuration

#endif
