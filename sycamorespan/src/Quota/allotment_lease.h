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

/** \brief Constants of an allotment_lease. */
struct allotment_policy
{
    clock_drift drift;
    duration validity = 12h; ///< of a share without renewal
    duration renewInterval = 3h;
    duration pollInterval = 10s; ///< mean time between two reads of the row
    duration answerTimeoutLimit = 30s; ///< the timeout doubles up to it while none is answered
    duration answerTimeout = 2s; ///< a read or write without answer is repeated after it
    duration settleTime = 2s; ///< after it nothing of an earlier share is in use, such as a loan

    bool operator==(const allotment_policy &) const = default;
};

namespace allotment_event {

/** \brief The row was read. Revision 0: it doesn't exist. */
struct row_read
{
    std::uint64_t request = 0;
    std::uint64_t revision = 0;
    std::optional<std::string> value;
};

/** \brief The compare-and-set was answered. */
struct write_answered
{
    std::uint64_t request = 0;
    bool succeeded = false;
    std::uint64_t revision = 0; ///< of the row after a success
};

/** \brief The store could not be asked, or its answer was lost. */
struct request_failed
{
    std::uint64_t request = 0;
};

/** \brief Units that this holder could use: its demand. */
struct wanted_changed
{
    std::int64_t wanted = 0;
};

/** \brief Units that can't be given back yet: lent, or in use. */
struct committed_changed
{
    std::int64_t units = 0;
};

/** \brief Another holder joined or left: read the row soon. */
struct holders_changed
{ };

/** \brief Give the share back and end. */
struct drain
{ };

struct tick
{ };

} // namespace allotment_event

using allotment_input =
        std::variant<allotment_event::row_read, allotment_event::write_answered,
                     allotment_event::request_failed, allotment_event::wanted_changed,
                     allotment_event::committed_changed, allotment_event::holders_changed,
                     allotment_event::drain, allotment_event::tick>;

namespace allotment_action {

struct read_row
{
    std::uint64_t request = 0;
    std::string key;

    bool operator==(const read_row &) const = default;
};

/** \brief Put the value if the row still has the revision (0: if it doesn't exist). */
struct write_row
{
    std::uint64_t request = 0;
    std::string key;
    std::uint64_t revision = 0;
    std::string value;

    bool operator==(const write_row &) const = default;
};

/** \brief The usable share is now this. A reduction is in force before it is written. */
struct share_changed
{
    std::int64_t units = 0;
    std::int64_t totalUnits = 0;
    time_point validUntil;
    std::vector<holder_id> peers; ///< the other holders in the row

    bool operator==(const share_changed &) const = default;
};

/** \brief The share was given back. */
struct drained
{
    bool operator==(const drained &) const = default;
};

} // namespace allotment_action

using allotment_output = std::variant<allotment_action::read_row, allotment_action::write_row,
                                      allotment_action::share_changed, allotment_action::drained>;

/** \brief Keeps one holder's share of an allotment in the table service.
 *
 * One request to the store is outstanding at a time. The outcome of a write without answer is found
 * by reading the row: it carries the unique id of the write that made it. Until a later write of
 * this holder succeeded, an unanswered reduction counts as done and an unanswered increase as not.
 * \sa quota_holder, unit_budget
 */
class allotment_lease
{
public:
    /** \param key      of the row, such as "quota/rate/gronda"
     *  \param total    units of a row that doesn't exist yet; this holder wants all of them until
     *                  wanted_changed
     *  \param self     this run of this holder; the instance runs one process of this holder name
     *  \param policy   constants, the same for all holders
     *  \param random   for unique ids and jitter
     */
    allotment_lease(std::string key, std::int64_t total, holder_run self,
                    const allotment_policy &policy, random_source random, time_point now);

    std::vector<allotment_output> handle(const allotment_input &event, time_point now);

    /** \returns when a tick is due. */
    time_point nextDeadline() const;

    /** \returns units that may be used at \a now. */
    std::int64_t usableUnits(time_point now) const;

    /** \returns the row as last seen. */
    const allotment &row() const { return m_row; }

private:
    using outputs = std::vector<allotment_output>;

    /** \brief A write whose outcome isn't known. */
    struct pending_write
    {
        std::string unique;
        allotment value;
        time_point sent;
    };

    void on(const allotment_event::row_read &event, time_point now, outputs &actions);
    void on(const allotment_event::write_answered &event, time_point now, outputs &actions);
    void on(const allotment_event::request_failed &event, time_point now, outputs &actions);
    void on(const allotment_event::wanted_changed &event, time_point now, outputs &actions);
    void on(const allotment_event::committed_changed &event, time_point now, outputs &actions);
    void on(const allotment_event::holders_changed &event, time_point now, outputs &actions);
    void on(const allotment_event::drain &event, time_point now, outputs &actions);
    void on(const allotment_event::tick &event, time_point now, outputs &actions);

    void read(time_point now, outputs &actions);
    void considerWrite(time_point now, outputs &actions);
    void write(const allotment &next, time_point now, outputs &actions);
    void confirm(const pending_write &written, time_point now);
    void resolvePending(std::uint64_t revision, const allotment &row, time_point now);
    void adopt(std::uint64_t revision, allotment row, time_point now);
    void adoptOwnUnits(std::int64_t units);
    void settle(time_point now);
    void reduceTo(std::int64_t units, time_point now);
    allotment desiredRow(time_point now);
    std::int64_t desiredUnits(const allotment &row, std::int64_t units, time_point now);
    bool superseded() const;
    bool worthWriting(const allotment &next, time_point now) const;
    void fail(time_point now);
    void publish(time_point now, outputs &actions);
    void scheduleRead(duration mean, time_point now);
    std::string uniqueId();

    std::string m_key;
    std::int64_t m_newTotal;
    holder_run m_self;
    allotment_policy m_policy;
    random_source m_random;

    allotment m_row;
    std::uint64_t m_revision = 0;
    bool m_known = false;
    time_point m_rowSeen; ///< since when the row is known to have m_revision
    std::optional<pending_write> m_pending;
    std::uint64_t m_lastRequest = 0;
    std::optional<std::uint64_t> m_outstanding;
    time_point m_outstandingSent;
    duration m_answerTimeout;
    time_point m_nextRead;
    std::int64_t m_usable = 0;
    std::optional<time_point> m_settled; ///< when a reduced or inherited share has settled
    std::optional<std::uint64_t> m_unresolvedBase; ///< a write on this revision may still arrive
    bool m_inherited = false; ///< the share was a predecessor's and has not settled
    bool m_reducing = false; ///< the usable share is less than the row says
    time_point m_validUntil;
    std::optional<time_point> m_renewed; ///< when the last confirmed write was sent
    std::int64_t m_wanted = 0;
    std::int64_t m_committed = 0;
    bool m_draining = false;
    bool m_drained = false;
    bool m_drainReported = false;
    std::optional<allotment_action::share_changed> m_published;
};

} // namespace sycamorespan

#endif
