#ifndef SYCAMORESPAN_FAILOVER_VIEW_PUBLISHER_H
#define SYCAMORESPAN_FAILOVER_VIEW_PUBLISHER_H

#include "sycamorespan/src/Failover/commit_tracker.h"
#include "sycamorespan/src/Failover/group_view.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Timeouts and backoff of a view_publisher. */
struct view_publisher_settings
{
    duration requestTimeout = 2s;
    duration minimumBackoff = 500ms;
    duration maximumBackoff = 30s;
};

/** \brief Action: read the row group/DATABASE and report the result as row_read. */
struct read_group_row
{
    std::uint64_t request = 0;

    auto operator<=>(const read_group_row &) const = default;
};

/** \brief Action: write the row if its revision is still \a expectedRevision, or 0 if there is no
 * row. Otherwise read it in the same transaction. Report the result as row_read.
 */
struct write_group_row
{
    std::uint64_t request = 0;
    group_view view;
    std::uint64_t expectedRevision = 0;

    bool operator==(const write_group_row &) const = default;
};

using view_publisher_action = std::variant<read_group_row, write_group_row, view_learned>;

/** \brief Event: content of the row after the read or write. */
struct row_read
{
    std::uint64_t request = 0;
    std::uint64_t revision = 0; ///< 0 if the row doesn't exist
    std::optional<group_view> view;

    bool operator==(const row_read &) const = default;
};

/** \brief Event: the store did not answer. A write may have taken effect. */
struct row_failed
{
    std::uint64_t request = 0;

    auto operator<=>(const row_failed &) const = default;
};

/** \brief Writes views to the store by compare-and-set, so that the term of the row only rises.
 *
 * A change of primary never waits for this write: the row only tells instances that start later
 * which server to try first. A lost answer of the store is resolved by reading the row.
 */
class view_publisher
{
public:
    view_publisher(const view_publisher_settings &settings, random_source random);

    std::vector<view_publisher_action> publish(const group_view &view, time_point now);
    std::vector<view_publisher_action> handle(const row_read &event, time_point now);
    std::vector<view_publisher_action> handle(const row_failed &event, time_point now);
    std::vector<view_publisher_action> handle(const time_passed &event, time_point now);

    std::optional<time_point> nextDeadline() const;

private:
    std::vector<view_publisher_action> read(time_point now);
    void backOff(time_point now);

    view_publisher_settings m_settings;
    random_source m_random;
    std::optional<group_view> m_viewToWrite;
    std::optional<std::uint64_t> m_pendingRequest;
    std::uint64_t m_lastRequest = 0;
    std::optional<time_point> m_deadline;
    unsigned m_consecutiveFailures = 0;
};

} // namespace sycamorespan

#endif
