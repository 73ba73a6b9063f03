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

/** \brief Read the row and its revision and pass them to configuration_editor::rowFetched(). */
struct fetch_row
{
    bool operator==(const fetch_row &) const = default;
};

/** \brief Read a body from the object store and pass it to configuration_editor::bodyFetched(). */
struct fetch_body
{
    std::string object;

    bool operator==(const fetch_body &) const = default;
};

/** \brief Write a body to the object store and report the result to bodyStored(). */
struct store_body
{
    std::string object;
    std::string body;

    bool operator==(const store_body &) const = default;
};

/** \brief Write the row if its revision is still \c revision and report the result to
 * rowCompared(). */
struct compare_and_set_row
{
    std::uint64_t revision = 0; /**< 0 if the row must not exist */
    std::string value;

    bool operator==(const compare_and_set_row &) const = default;
};

/** \brief Call configuration_editor::tick() after \c delay. */
struct wait_before_retry
{
    duration delay{};

    bool operator==(const wait_before_retry &) const = default;
};

/** \brief The edit was accepted as the version \c version. */
struct edit_accepted
{
    configuration_version version = 0;
    std::string object;

    bool operator==(const edit_accepted &) const = default;
};

/** \brief The edit was not applied, because another edit changed the expected version first. */
struct edit_conflict
{
    configuration_version expected = 0;
    configuration_version current = 0;
    std::vector<configuration_change> changes; /**< from the expected version to the current one */

    bool operator==(const edit_conflict &) const = default;
};

/** \brief The edit was not applied, because its result is invalid or it changes nothing. */
struct edit_refused
{
    std::string reason;

    bool operator==(const edit_refused &) const = default;
};

/** \brief The edit was not applied, because the deadline passed before the row was written. */
struct edit_not_run
{
    std::string reason;

    bool operator==(const edit_not_run &) const = default;
};

/** \brief The deadline passed after the write was sent and before its result was known. The edit
 * may have been applied.
 */
struct edit_outcome_unknown
{
    std::string request;

    bool operator==(const edit_outcome_unknown &) const = default;
};

/** \brief Next action for the caller of configuration_editor, or the result of the edit. */
using edit_action = std::variant<fetch_row, fetch_body, store_body, compare_and_set_row,
                                 wait_before_retry, edit_accepted, edit_conflict, edit_refused,
                                 edit_not_run, edit_outcome_unknown>;

/** \brief Configuration row with its revision in the table. */
struct fetched_row
{
    std::uint64_t revision = 0;
    configuration_row row;

    bool operator==(const fetched_row &) const = default;
};

/** \brief Result of a request to the table or the object store. */
enum class store_result {
    done, /**< the store confirmed the request */
    refused, /**< the row had another revision */
    noAnswer /**< the request may have been applied, or may be applied later */
};

/** \brief An edit that an operator requests. */
struct edit_request
{
    std::string request; /**< unique identifier of the edit */
    /** Returns the new document for the current one; throws error to refuse the edit. */
    std::function<configuration_document(const configuration_document &)> change;
    /** Version that the edit applies to; without one it is applied again to each newer version. */
    std::optional<configuration_version> expectedVersion;
};

/** \brief Executes one edit of the configuration until its result is known or its deadline passes.
 *
 * The body is written to the object store, then the row is replaced by compare-and-set. If the
 * answer is lost, the current document is read: the edit was applied if its identifier is among the
 * recent edits. Otherwise the same write is sent again, which can take effect only once. Each call
 * returns the next action.
 */
class configuration_editor
{
public:
    /** \param request   the edit
     * \param deadline  time after which no further attempt is made
     */
    configuration_editor(edit_request request, time_point deadline);

    /** \brief Starts the edit. */
    edit_action start(time_point now);

    /** \brief Handles the result of fetch_row.
     * \param now     the current time
     * \param result  result of the request
     * \param row     the row; nothing if it doesn't exist
     */
    edit_action rowFetched(time_point now, store_result result,
                           const std::optional<fetched_row> &row);
    /** \brief Handles the result of fetch_body; \a body is empty if the request failed. */
    edit_action bodyFetched(time_point now, const std::optional<std::string> &body);
    /** \brief Handles the result of store_body. */
    edit_action bodyStored(time_point now, store_result result);
    /** \brief Handles the result of compare_and_set_row. */
    edit_action rowCompared(time_point now, store_result result);
    /** \brief Continues after the delay of wait_before_retry. */
    edit_action tick(time_point now);

private:
    enum class phase { readingRow, readingCurrent, readingExpected, storing, comparing, waiting };

    edit_action readRow();
    edit_action readBody(phase next, const std::string &object);
    edit_action retry(time_point now, const std::string &reason);
    edit_action continueFrom(configuration_document current);
    edit_action resolveOutcome(const configuration_document &current);
    edit_action reportConflict(configuration_document current);
    edit_action createVersion(const configuration_document &current);
    edit_action writeRow();

    edit_request m_request;
    time_point m_deadline;
    phase m_phase = phase::readingRow;
    unsigned m_retries = 0;
    std::uint64_t m_revision = 0; // of the last row read; 0 if it doesn't exist
    std::uint64_t m_writtenRevision = 0; // revision that the last write compared with
    std::optional<configuration_document> m_current; // set while the expected version is read
    std::string m_object;
    std::string m_body;
    configuration_version m_version = 0;
    bool m_mayBeApplied = false; // whether a write was sent whose result is unknown
};

} // namespace sycamorespan::configuration

#endif
