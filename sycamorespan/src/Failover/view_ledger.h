#ifndef SYCAMORESPAN_FAILOVER_VIEW_LEDGER_H
#define SYCAMORESPAN_FAILOVER_VIEW_LEDGER_H

#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Failover/primary_view.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamorespan {

/** \brief Time limits of views, the same on all instances. */
struct view_policy
{
    /** A view may be used so long after it was confirmed; a supervisor that can't reach all
     * instances waits as long before it orders a promotion. Three missed confirmations.
     */
    duration validity = 2500ms;
    /** The supervisor waits longer than users may use, for what is under way at a limit. */
    duration margin = 200ms;

    auto operator<=>(const view_policy &) const = default;
};

/** \brief What one instance knows of the primaries, and until when it may rely on it.
 *
 * A view is confirmed by a reading of the store, made here or passed on by another instance, with
 * the store's clock as the time. A promotion is ordered only after its intent stands in the store
 * and every instance has dropped the old view or the validity has passed since. So a view that was
 * confirmed at C may be used until C + validity.
 *
 * While the store answers nobody, no intent can be written: a view is then also confirmed by all
 * registered instances together, each of which states that it has begun no change.
 */
class view_ledger
{
public:
    explicit view_ledger(const view_policy &policy)
        : m_policy(policy)
    { }

    /** \brief All views as they stood in the store when its clock read \a confirmed. */
    void applySnapshot(const std::vector<primary_view> &views, reference_time confirmed);

    /** \brief One row that was written when the store's clock read \a committed, or before. */
    void applyWritten(const primary_view &view, reference_time committed);

    /** \brief A row that was just written, or that another instance knows. */
    void apply(const primary_view &view);

    /** \brief Instances that could write an intent. \a self needs no statement. */
    void setRegistered(std::set<instance_id> instances, const instance_id &self);

    /** \brief \a instance stated the views it knows at \a stated, or later.
     * \param views  all that it knows; a newer revision than ours is applied
     */
    void vouch(const instance_id &instance, const std::vector<primary_view> &views,
               reference_time stated);

    const primary_view *find(const database_id &database) const;
    std::vector<primary_view> views() const;

    /** \returns when the store was last known to hold the view of \a database. */
    std::optional<reference_time> confirmed(const database_id &database) const;

    /** \returns a reading of the store by which every known view was confirmed; nothing if one was
     * not.
     */
    std::optional<reference_time> confirmed() const;

    /** \returns the reference time until which the view of \a database may be used; nothing if it
     * may not be.
     */
    std::optional<reference_time> usableUntil(const database_id &database) const;

    const view_policy &policy() const { return m_policy; }

private:
    struct entry
    {
        primary_view view;
        std::optional<reference_time> confirmed;
    };

    std::optional<reference_time> vouchedBy() const;

    view_policy m_policy;
    std::map<database_id, entry> m_entries;
    std::set<instance_id> m_registered; // without this one
    std::map<instance_id, reference_time> m_vouched;
};

} // namespace sycamorespan

#endif
