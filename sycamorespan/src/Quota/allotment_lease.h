#ifndef SYCAMORESPAN_QUOTA_ALLOTMENT_LEASE_H
#define SYCAMORESPAN_QUOTA_ALLOTMENT_LEASE_H

#include "sycamorespan/src/Core/random_source.h"
#include "sycamorespan/src/Quota/allotment.h"
#include "sycamorespan/src/Quota/clock_drift.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Settings of an allotment_lease. */
struct allotment_policy
{
    clock_drift drift;
    duration validity = 12h; ///< time after a renewal for which a share is valid
    duration renewInterval = 3h; ///< time between two renewals of the share
    duration pollInterval = 10s; ///< mean time between two reads of the row
    duration maxAnswerTimeout = 30s; ///< greatest timeout; it doubles after each timeout
    duration answerTimeout = 2s; ///< initial time limit for the answer to a read or write
    /** Time after which no unit of an earlier, greater share is in use any more, such as in a loan.
     */
    duration settleTime = 2s;

    bool operator==(const allotment_policy &) const = default;
};

namespace allotment_event {

/** \brief The row was read. Revision 0 means that it doesn't exist. */
struct row_read
{
    std::uint64_t request = 0;
    std::uint64_t revision = 0;
    std::optional<std::string> value;
};

/** \brief The store answered the compare-and-set. */
struct write_answered
{
    std::uint64_t request = 0;
    bool succeeded = false;
    std::uint64_t revision = 0; ///< revision of the row after a successful write
};

/** \brief The request could not be sent to the store, or its answer was lost. */
struct request_failed
{
    std::uint64_t request = 0;
};

/** \brief The demand changed: the number of units that this holder could use. */
struct wanted_changed
{
    std::int64_t wanted = 0;
};

/** \brief The number of units that can't be released yet, because they are lent or in use, changed.
 */
struct committed_changed
{
    std::int64_t units = 0;
};

/** \brief Another holder was added or removed; the row is read soon. */
struct holders_changed
{ };

/** \brief Releases the share; no request is sent to the store afterwards. */
struct drain
{ };

/** \brief Time has passed; due at nextDeadline(). */
struct tick
{ };

} // namespace allotment_event

using allotment_input =
        std::variant<allotment_event::row_read, allotment_event::write_answered,
                     allotment_event::request_failed, allotment_event::wanted_changed,
                     allotment_event::committed_changed, allotment_event::holders_changed,
                     allotment_event::drain, allotment_event::tick>;

namespace allotment_action {

/** \brief Read the row from the store. */
struct read_row
{
    std::uint64_t request = 0;
    std::string key;

    bool operator==(const read_row &) const = default;
};

/** \brief Write the value if the row still has the revision; 0 means that it doesn't exist yet. */
struct write_row
{
    std::uint64_t request = 0;
    std::string key;
    std::uint64_t revision = 0;
    std::string value;

    bool operator==(const write_row &) const = default;
};

/** \brief The usable share changed. A reduction applies before it is written to the row. */
struct share_changed
{
    std::int64_t units = 0;
    std::int64_t totalUnits = 0;
    time_point validUntil;
    std::vector<holder_id> peers; ///< the other holders in the row

    bool operator==(const share_changed &) const = default;
};

/** \brief The share was released. */
struct drained
{
    bool operator==(const drained &) const = default;
};

} // namespace allotment_action

using allotment_output = std::variant<allotment_action::read_row, allotment_action::write_row,
                                      allotment_action::share_changed, allotment_action::drained>;

/** \brief Keeps one holder's share of an allotment in the table service.
 *
 * One request to the store is outstanding at a time. The outcome of an unanswered write is found by
 * reading the row, which contains the unique id of the write that stored it. Until a later write of
 * this holder succeeds, an unanswered reduction is treated as applied and an unanswered increase as
 * not applied.
 * \sa quota_holder, unit_budget
 */
class allotment_lease
{
public:
    /** \param key  key of the row, such as "quota/rate/gronda"
     * \param total  total units of a row that doesn't exist yet; the demand of this holder is the
     *     total until wanted_changed
     * \param self  incarnation of this holder; an instance runs one process for a holder id
     * \param policy  settings, the same for all holders
     * \param random  source of unique ids and jitter
     */
    allotment_lease(std::string key, std::int64_t total, holder_incarnation self,
                    const allotment_policy &policy, random_source random, time_point now);

    std::vector<allotment_output> handle(const allotment_input &event, time_point now);

    /** \returns the time at which a tick is due. */
    time_point nextDeadline() const;

    /** \returns the units that may be used at \a now. */
    std::int64_t usableUnits(time_point now) const;

    /** \returns the row as last read or written. */
    const allotment &row() const { return m_row; }

private:
    using outputs = std::vector<allotment_output>;

    /** \brief A write whose outcome is unknown. */
    struct pending_write
    {
        std::string uniqueId;
        allotment value;
        time_point sent;
    };

    void handle(const allotment_event::row_read &event, time_point now, outputs &actions);
    void handle(const allotment_event::write_answered &event, time_point now, outputs &actions);
    void handle(const allotment_event::request_failed &event, time_point now, outputs &actions);
    void handle(const allotment_event::wanted_changed &event, time_point now, outputs &actions);
    void handle(const allotment_event::committed_changed &event, time_point now, outputs &actions);
    void handle(const allotment_event::holders_changed &event, time_point now, outputs &actions);
    void handle(const allotment_event::drain &event, time_point now, outputs &actions);
    void handle(const allotment_event::tick &event, time_point now, outputs &actions);

    void read(time_point now, outputs &actions);
    void writeIfNeeded(time_point now, outputs &actions);
    void write(const allotment &next, time_point now, outputs &actions);
    void applyConfirmedWrite(const pending_write &written, time_point now);
    void resolveUnansweredWrite(std::uint64_t revision, const allotment &row, time_point now);
    void applyRow(std::uint64_t revision, allotment row, time_point now);
    void applyOwnUnits(std::int64_t units);
    void finishSettling(time_point now);
    void reduceUsableTo(std::int64_t units, time_point now);
    allotment desiredRow(time_point now);
    std::int64_t desiredUnits(const allotment &row, std::int64_t units, time_point now);
    bool isSuperseded() const;
    bool needsWrite(const allotment &next, time_point now) const;
    void onRequestFailed(time_point now);
    void publish(time_point now, outputs &actions);
    void scheduleRead(duration mean, time_point now);
    std::string nextUniqueId();

    std::string m_key;
    std::int64_t m_configuredTotal;
    holder_incarnation m_self;
    allotment_policy m_policy;
    random_source m_random;

    allotment m_row;
    std::uint64_t m_revision = 0;
    bool m_isRowKnown = false;
    time_point m_revisionSeenAt; ///< when m_revision was first seen
    std::optional<pending_write> m_unansweredWrite;
    std::uint64_t m_lastRequest = 0;
    std::optional<std::uint64_t> m_outstandingRequest;
    time_point m_outstandingSentAt;
    duration m_answerTimeout;
    time_point m_nextReadAt;
    std::int64_t m_usableUnits = 0;
    std::optional<time_point>
            m_settleEnd; ///< end of the settle time of a reduced or inherited share
    std::optional<std::uint64_t>
            m_unresolvedRevision; ///< base of an unanswered write that may still be applied
    bool m_hasInheritedShare = false; ///< loans of the previous incarnation may still be spent
    bool m_isReducing = false; ///< the usable share is smaller than the share in the row
    time_point m_validUntil;
    std::optional<time_point> m_renewedAt; ///< when the last confirmed write was sent
    std::int64_t m_wanted = 0;
    std::int64_t m_committed = 0;
    bool m_isDraining = false;
    bool m_isDrained = false;
    bool m_isDrainReported = false;
    std::optional<allotment_action::share_changed> m_published;
};

} // namespace sycamorespan

#endif
