#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_EDITOR_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_EDITOR_H

#include "sycamorespan/src/Configuration/configuration_diff.h"
#include "sycamorespan/src/Configuration/configuration_document.h"
#include "sycamorespan/src/Core/time_types.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan::configuration {

/** \brief Read the row and its revision; answer with rowFetched(). */
struct fetch_row
{
    bool operator==(const fetch_row &) const = default;
};

/** \brief Get a body from the object store; answer with bodyFetched(). */
struct fetch_body
{
    std::string object;

    bool operator==(const fetch_body &) const = default;
};

/** \brief Put a body into the object store; answer with bodyStored(). */
struct store_body
{
    std::string object;
    std::string body;

    bool operator==(const store_body &) const = default;
};

/** \brief Write the row if its revision is still \c revision; answer with rowCompared(). */
struct compare_and_set_row
{
    std::uint64_t revision = 0; /**< 0 if the row must not exist */
    std::string value;

    bool operator==(const compare_and_set_row &) const = default;
};

/** \brief Call tick() after \c delay. */
struct wait_before_retry
{
    duration delay{};

    bool operator==(const wait_before_retry &) const = default;
};

/** \brief The edit is the version \c version. */
struct edit_accepted
{
    configuration_version version = 0;
    std::string object;

    bool operator==(const edit_accepted &) const = default;
};

/** \brief The edit did not happen, as another edit came first. */
struct edit_conflict
{
    configuration_version expected = 0;
    configuration_version current = 0;
    std::vector<configuration_change> changes; /**< from the expected version to the current one */

    bool operator==(const edit_conflict &) const = default;
};

/** \brief The edit did not happen: its result is not valid, or it changes nothing. */
struct edit_refused
{
    std::string reason;

    bool operator==(const edit_refused &) const = default;
};

/** \brief The deadline passed before anything was written: the edit did not happen. */
struct edit_not_run
{
    std::string reason;

    bool operator==(const edit_not_run &) const = default;
};

/** \brief The deadline passed after the write was sent and before its result was known. */
struct edit_outcome_unknown
{
    std::string request;

    bool operator==(const edit_outcome_unknown &) const = default;
};

using edit_action = std::variant<fetch_row, fetch_body, store_body, compare_and_set_row,
                                 wait_before_retry, edit_accepted, edit_conflict, edit_refused,
                                 edit_not_run, edit_outcome_unknown>;

/** \brief The row with its revision in the table. */
struct fetched_row
{
    std::uint64_t revision = 0;
    configuration_row row;

    bool operator==(const fetched_row &) const = default;
};

/** \brief How the table answered. */
enum class store_result {
    done, /**< the answer says so */
    refused, /**< the compare did not hold */
    noAnswer /**< it may have happened or not, or may still happen */
};

/** \brief What an operator asks for. */
struct edit_request
{
    std::string request; /**< unique identifier of the edit */
    /** Makes the new document of the current one; throws error to refuse. */
    std::function<configuration_document(const configuration_document &)> change;
    /** The version that the edit is for; without one it is made again on each newer version. */
    std::optional<configuration_version> expectedVersion;
};

/** \brief Carries one edit of the configuration to a definite result.
 *
 * The body is put into the object store, then the row is replaced by compare-and-set. A lost answer
 * is resolved by reading: the edit has happened if its identifier is among the recent edits of the
 * current document. While it has not, the same write is sent again, which can take effect only
 * once. Each call returns the one action that comes next.
 */
class configuration_editor
{
public:
    /** \param request   the edit
     * \param deadline  after which no further attempt is made
     */
    configuration_editor(edit_request request, time_point deadline);

    edit_action start(time_point now);

    /** \param row  the row; nothing if it doesn't exist */
    edit_action rowFetched(time_point now, store_result result,
                           const std::optional<fetched_row> &row);
    edit_action bodyFetched(time_point now, const std::optional<std::string> &body);
    edit_action bodyStored(time_point now, store_result result);
    edit_action rowCompared(time_point now, store_result result);
    edit_action tick(time_point now);

private:
    enum class phase { readingRow, readingCurrent, readingExpected, storing, comparing, waiting };

    edit_action readRow();
    edit_action readBody(phase next, const std::string &object);
    edit_action retry(time_point now, const std::string &reason);
    edit_action continueFrom(configuration_document current);
    edit_action resolve(const configuration_document &current);
    edit_action reportConflict(configuration_document current);
    edit_action makeVersion(const configuration_document &current);
    edit_action writeRow();

    edit_request m_request;
    time_point m_deadline;
    phase m_phase = phase::readingRow;
    unsigned m_attempts = 0;
    std::uint64_t m_revision = 0; // of the row that was read last; 0 if it doesn't exist
    std::uint64_t m_writtenRevision = 0; // that the last write was to replace
    std::optional<configuration_document> m_current; // while the expected version is read
    std::string m_object;
    std::string m_body;
    configuration_version m_version = 0;
    bool m_mayHaveHappened = false;
};

} // namespace sycamorespan::configuration

#endif
