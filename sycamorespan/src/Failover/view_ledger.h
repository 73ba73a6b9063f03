#ifndef SYCAMORESPAN_FAILOVER_VIEW_LEDGER_H
#define SYCAMORESPAN_FAILOVER_VIEW_LEDGER_H

#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Failover/primary_view.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamorespan {

/** \brief Lease times of primary views. They must be the same on all instances. */
struct view_policy
{
    /** Time for which a view may be used after it was confirmed. A supervisor that can't reach all
     * instances waits as long before it orders a promotion. Covers three missed confirmations.
     */
    duration validity = 2500ms;
    /** Additional time for which the supervisor waits, so that work in progress when a view expires
     * can end.
     */
    duration margin = 200ms;
    /** Time after its last confirmation by the store for which the attestations of a quorum extend
     * a view. A supervisor that is not acknowledged by a quorum waits as much longer.
     */
    duration quorumExtension = 10s;

    auto operator<=>(const view_policy &) const = default;
};

/** \brief Primary views that one instance knows, each with the end of its lease.
 *
 * A view is confirmed by a read of the store, made by this instance or passed on by another one,
 * at the time of the store's clock. A promotion is ordered only after its intent was written to the
 * store and either every instance has released the old view or the validity has passed since. So a
 * view that was confirmed at C may be used until C + validity.
 *
 * During a store outage no intent can be written by an instance that it does not answer. The views
 * are then also extended by attestations, in which instances state that they know of no change: by
 * those of all registered instances without a limit, and by those of a quorum for a limited time. A
 * promotion is ordered only once a quorum has released the views and the validity has passed since,
 * so that no quorum can extend them any more, or after the limit.
 */
class view_ledger
{
public:
    explicit view_ledger(const view_policy &policy)
        : m_policy(policy)
    { }

    /** \brief Applies all views that the store held when its clock read \a confirmed, as another
     * instance knows them. Rows that were written in a former era of the store are no views.
     */
    void applySnapshot(const std::vector<primary_view> &views, reference_time confirmed);

    /** \brief Applies one row that the store held at the revision \a readAt, when its clock read
     * \a confirmed. No other revision of the row up to \a readAt counts any more. The rows of all
     * views that were read together must be applied, so that the ledger knows all views up to the
     * newest one.
     */
    void applyRead(const primary_view &view, reference_time confirmed, store_revision readAt);

    /** \brief Applies a row that another instance knows, without confirming it. */
    void apply(const primary_view &view);

    /** \brief Applies the attestation of all instances that they had begun no change.
     * \param digest  digest of the views that they know; it has no effect on other views
     * \param attestedAt  time of the oldest of their attestations
     */
    void attest(std::uint64_t digest, reference_time attestedAt);
    /** \brief Applies the attestation of a quorum. \sa attest() */
    void attestByQuorum(std::uint64_t digest, reference_time attestedAt);

    /** \brief Sets when this instance was registered in the store; nothing if it isn't. A change
     * does not wait for an instance that was registered after its intent, so that only views that
     * were confirmed since the registration may be used.
     * \param era  era in which the store is known to hold the registration. A store that returned
     *             from an older copy may have lost it, so that confirmations of a later era extend
     * no lease. Leases that began before run on.
     */
    void setRegisteredAt(std::optional<reference_time> time, store_era era = 0);

    /** \returns the digest of all known views. */
    std::uint64_t digest() const;

    const primary_view *find(const database_id &database) const;
    std::vector<primary_view> views() const;

    /** \returns when the store was last known to hold the view of \a database. */
    std::optional<reference_time> confirmed(const database_id &database) const;

    /** \returns the earliest of the confirmations of all known views, or nothing if a view is
     * unconfirmed.
     */
    std::optional<reference_time> confirmed() const;

    /** \returns the reference time at which the lease of the view of \a database expires, or
     * nothing if the view may not be used.
     */
    std::optional<reference_time> usableUntil(const database_id &database) const;

    const view_policy &policy() const { return m_policy; }

private:
    struct entry
    {
        primary_view view;
        store_revision readAt; ///< newest revision of the store at which the row was read here
        std::optional<reference_time> confirmed;
        /** The last confirmation while this instance was registered, from which its lease counts.
         */
        std::optional<reference_time> leasedAt;
        reference_time attested{}; ///< by all instances
        reference_time attestedByQuorum{};
    };

    struct registration
    {
        reference_time at{};
        store_era era = 0;
    };

    void confirm(const primary_view &view, reference_time confirmed);
    void renewLease(entry &known) const;

    view_policy m_policy;
    std::optional<registration> m_registration;
    std::map<database_id, entry> m_entries;
};

} // namespace sycamorespan

#endif
