#include "sycamorespan/src/Failover/synchronous_change.h"
#include "sycamorespan/src/Core/map_projections.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <string_view>
#include <utility>

namespace sycamorespan {

namespace {

using namespace change_action;

std::string_view nameOf(change_reason reason)
{
    switch (reason) {
    case change_reason::none:
        return "none";
    case change_reason::noView:
        return "no primary view exists";
    case change_reason::draining:
        return "primary is draining";
    case change_reason::evacuated:
        return "data centre of the primary is evacuated";
    case change_reason::removed:
        return "primary was removed from the server list";
    case change_reason::unreachable:
        return "primary does not answer";
    case change_reason::partlyUnreachable:
        return "many instances get no answer from the primary";
    case change_reason::demoted:
        return "primary reports that it is a replica";
    case change_reason::unfinishedChange:
        return "change of another supervisor is unfinished";
    }
    return "unknown";
}

std::string textOf(log_position position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.offset);
}

const server_entry *entryOf(const change_context &context, const server_id &server)
{
    const auto found = std::ranges::find(context.members, server, &server_entry::id);
    return found == context.members.end() ? nullptr : &*found;
}

} // namespace

synchronous_change::synchronous_change(database_id database, const change_policy &policy,
                                       const view_policy &views)
    : m_database(std::move(database))
    , m_policy(policy)
    , m_views(views)
    , m_promotionTime(policy.expectedPromotionTime)
{ }

void synchronous_change::noteEvent(std::string event,
                                   std::vector<std::pair<std::string, std::string>> fields)
{
    m_outputs.push_back(log_event{m_database, std::move(event), std::move(fields)});
}

void synchronous_change::enter(step next, time_point now)
{
    m_step = next;
    m_stepBeganAt = now;
}

std::optional<time_point> synchronous_change::expectedEnd(time_point now) const
{
    const auto promotion = m_promotionTime + m_policy.confirmInterval;
    switch (m_step) {
    case step::none:
        return std::nullopt;
    case step::adopting:
        return now;
    case step::resuming:
    case step::writingIntent:
    case step::queryingStatus:
    case step::writingOrder:
        return now + m_policy.expectedStatusQueryTime + promotion;
    case step::confirming:
        return std::max(m_orderedAt + promotion, now);
    case step::publishing:
        return now;
    }
    return std::nullopt;
}

change_outputs synchronous_change::abandon()
{
    if (m_step != step::none)
        noteEvent("change of primary abandoned because another supervisor took over");
    m_step = step::none;
    m_isWriting = false;
    m_writeUnresolved = false;
    m_writtenAt.reset();
    m_paused.clear();
    m_hasMergedRecord = false;
    return takeOutputs();
}

void synchronous_change::updateMembers(const change_context &context, time_point now)
{
    std::ranges::for_each(context.members, [&](const server_entry &entry) {
        auto &member = m_members[entry.id];
        member.lastListedAt = now;
        const bool isDraining = entry.state == server_state::draining;
        const bool isNewIncarnation =
                m_holders
                        .insert_or_assign(log_holder{entry.id, entry.startedAtMs},
                                          log_holder_state{now, isDraining, {}})
                        .second;
        if (isNewIncarnation)
            member.status.reset(); // the status is that of a former incarnation
    });
    std::erase_if(m_members, [&](const auto &each) {
        return now - each.second.lastListedAt > m_policy.removedMemberTimeout;
    });
    const bool oldMayAnswer = isRunning() && hasOneIncarnation(m_oldPrimary)
                              && entryOf(context, m_oldPrimary) != nullptr;
    if (oldMayAnswer)
        return;
    std::erase_if(m_holders, [&](const auto &each) {
        return now - each.second.lastListedAt > m_policy.removedMemberTimeout;
    });
}

/** Applies what former supervisors have recorded. Their members count as if they were removed now.
 */
void synchronous_change::mergeRecordedHolders(const change_context &context, time_point now)
{
    if (std::exchange(m_hasMergedRecord, true))
        return;
    std::ranges::for_each(context.recordedHolders, [&](const log_holder &holder) {
        if (m_holders.try_emplace(holder, log_holder_state{now, true, {}}).second)
            m_members.try_emplace(holder.server).first->second.lastListedAt = now;
    });
}

/** Records the members that drain or were removed and may hold commits. A draining member is
 * recorded long before it ends.
 */
void synchronous_change::recordHolders(const change_context &context, time_point now)
{
    std::vector<log_holder> departing;
    for (const auto &[holder, state] : m_holders)
        if (state.isDraining || !isListedIncarnation(holder, context))
            departing.push_back(holder);
    const bool isUnderWay = departing == m_lastRecord && now < m_recordRetryAt;
    if (departing == context.recordedHolders || !context.storeReachable || isUnderWay)
        return;
    m_lastRecord = departing;
    m_recordRetryAt = now + m_policy.writeRetryInterval;
    m_outputs.push_back(record_holders{m_database, std::move(departing), context.claim.revision});
}

/** \returns whether only one incarnation of \a server is known. A later incarnation starts with an
 * empty log and so has lost the commits that the former one held.
 */
bool synchronous_change::hasOneIncarnation(const server_id &server) const
{
    const auto isIncarnation = [&](const log_holder &each) { return each.server == server; };
    return std::ranges::count_if(m_holders, isIncarnation, keyOf) == 1;
}

bool synchronous_change::isListedIncarnation(const log_holder &holder,
                                             const change_context &context) const
{
    const auto *entry = entryOf(context, holder.server);
    return entry && entry->startedAtMs == holder.startedAtMs;
}

std::vector<log_holder> synchronous_change::holders() const
{
    std::vector<log_holder> result;
    std::ranges::transform(m_holders, std::back_inserter(result), keyOf);
    return result;
}

change_outputs synchronous_change::begin(change_reason reason, const change_context &context,
                                         time_point now)
{
    if (isRunning() || now < m_notBefore)
        return takeOutputs();
    // A primary that was chosen although it is evacuated too serves before it is replaced.
    if (reason == change_reason::evacuated && now - m_finishedAt < m_policy.catchUpTimeout)
        return takeOutputs();
    m_reason = reason;
    m_beganAt = now;
    m_isPlanned = reason == change_reason::draining || reason == change_reason::evacuated;
    m_steppedDown = false;
    m_fencingSince.reset();
    m_firstOrderedAt.reset();
    m_hasOrdered = false;
    m_fencingTerm = 0;
    m_paused.clear();
    m_wasReleased = false;
    m_publishedFloor.reset();
    m_intentAt.reset();
    m_quorumReleasedAt.reset();
    m_chosen = {};
    for (auto &[key, each] : m_members) {
        each.status.reset();
        each.statementSentAt = {};
    }
    updateMembers(context, now);
    if (const auto &known = context.view ? context.view : context.formerView) {
        std::ranges::for_each(known->holders, [&](const log_holder &holder) {
            m_holders.try_emplace(holder, log_holder_state{now, false, {}});
            m_members.try_emplace(holder.server).first->second.lastListedAt = now;
        });
    }
    if (!context.view) {
        enter(step::adopting, now);
        m_oldPrimary = {};
        m_oldTerm = context.formerView ? context.formerView->term : 0;
        m_oldPrimaryLed = false;
        adoptPrimary(context, now);
        return takeOutputs();
    }
    m_oldTerm = context.view->term;
    m_oldPrimary = context.view->primary;
    m_oldPrimaryLed = context.view->phase == view_phase::steady;
    noteEvent("change of primary begins", {{"reason", std::string(nameOf(reason))},
                                           {"primary", m_oldPrimary.str()},
                                           {"term", std::to_string(m_oldTerm)},
                                           {"fence", std::to_string(context.claim.fencingToken)}});
    if (context.view->phase == view_phase::ordered) {
        // An order is written only after all views were released, and none was usable since then.
        m_wasReleased = true;
        enter(step::resuming, now);
        awaitForeignOrder(context, now);
        return takeOutputs();
    }
    write(view_phase::withdrawn, m_oldPrimary, m_oldTerm, context, step::writingIntent, now);
    return takeOutputs();
}

/** \returns whether an order of a former supervisor may still take effect. */
bool synchronous_change::mayForeignOrderTakeEffect(const change_context &context) const
{
    return context.foreignOrdersUntil
           && (!context.earliest || *context.earliest < *context.foreignOrdersUntil);
}

/** Publishes the promotion that a former supervisor ordered once it has taken effect. Starts the
 * change again with a new intent when the order can no longer take effect.
 */
void synchronous_change::awaitForeignOrder(const change_context &context, time_point now)
{
    if (wasPromoted(m_oldPrimary)) {
        noteEvent("promotion ordered by the former supervisor took effect",
                  {{"primary", m_oldPrimary.str()}});
        return publish(m_oldPrimary, context, now);
    }
    if (!mayForeignOrderTakeEffect(context) || !entryOf(context, m_oldPrimary)) {
        write(view_phase::withdrawn, m_oldPrimary, m_oldTerm, context, step::writingIntent, now);
        return;
    }
    sendStatement(m_oldPrimary, member_statement::status{}, m_policy.confirmInterval, now);
}

void synchronous_change::write(view_phase phase, const server_id &primary, term_number term,
                               const change_context &context, step next, time_point now)
{
    enter(next, now);
    m_pendingView = {m_database,
                     context.view ? context.view->revision : context.replacedRevision,
                     primary,
                     term,
                     phase,
                     m_isPlanned,
                     context.claim.fencingToken,
                     phase == view_phase::steady ? std::vector<log_holder>() : holders()};
    m_pendingClaimRevision = context.claim.revision;
    m_isWriting = true;
    m_outputs.push_back(write_view{m_pendingView, m_pendingClaimRevision});
}

/** Writes the view of a member that has reported that it is primary. */
void synchronous_change::publish(const server_id &primary, const change_context &context,
                                 time_point now)
{
    write(view_phase::steady, primary, statusOf(primary)->term, context, step::publishing, now);
}

/** \returns the member's last answer, or nullptr if there is none. */
const replication_status *synchronous_change::statusOf(const server_id &server) const
{
    const auto member = m_members.find(server);
    return member != m_members.end() && member->second.status ? &*member->second.status : nullptr;
}

/** \returns whether the member was promoted in a term after that of the old primary's view. */
bool synchronous_change::wasPromoted(const server_id &server) const
{
    const auto *status = statusOf(server);
    return status && status->role == replication_role::primary && status->term > m_oldTerm;
}

change_outputs synchronous_change::onViewWritten(reference_time committed,
                                                 const change_context &context, time_point now)
{
    if (!m_isWriting)
        return takeOutputs();
    m_isWriting = false;
    m_writeUnresolved = true;
    m_writtenAt = committed;
    m_unresolvedReadAt = now;
    // The claim may be confirmed too long ago by the time when the row is read.
    if (m_step == step::writingOrder)
        orderPromotion(context, now);
    m_outputs.push_back(read_views{});
    return takeOutputs();
}

/** Sends the order that was written, unless another supervisor may already assume that it will not
 * be sent.
 */
void synchronous_change::orderPromotion(const change_context &context, time_point now)
{
    if (!context.mayOrder) {
        noteEvent("promotion order discarded because the claim was not confirmed in time");
        return enter(step::queryingStatus, now);
    }
    enter(step::confirming, now);
    m_orderedAt = now;
    m_hasOrdered = true;
    if (!m_firstOrderedAt)
        m_firstOrderedAt = now;
    m_outputs.push_back(order_promotion{m_database, m_chosen, context.claim.fencingToken});
}

/** Takes the next step once the known view is the one that was written. */
void synchronous_change::continueAfterWrite(reference_time committed, const change_context &context,
                                            time_point now)
{
    switch (m_step) {
    case step::writingIntent:
        m_intentAt = committed;
        m_quorumReleasedAt.reset();
        enter(step::queryingStatus, now);
        return queryStatus(context, now);
    case step::writingOrder:
        return orderPromotion(context, now);
    case step::publishing:
        return finish(context, now);
    default:
        return;
    }
}

change_outputs synchronous_change::onViewConflict(time_point now)
{
    if (!m_isWriting)
        return takeOutputs();
    m_isWriting = false;
    // Another supervisor wrote the row; its new content decides the next step.
    noteEvent("change of primary stopped because another supervisor changed the primary view");
    enter(step::none, now);
    m_notBefore = now + m_policy.writeRetryInterval;
    m_outputs.push_back(read_rows{});
    return takeOutputs();
}

change_outputs synchronous_change::onViewWriteUnknown(time_point now)
{
    if (!m_isWriting)
        return takeOutputs();
    m_isWriting = false;
    m_writeUnresolved = true;
    m_unresolvedReadAt = now;
    m_outputs.push_back(read_views{});
    return takeOutputs();
}

/** \returns whether the row that was written last may have become \a view. */
bool synchronous_change::isPendingView(const primary_view &view) const
{
    return view.fencingToken == m_pendingView.fencingToken && view.phase == m_pendingView.phase
           && view.primary == m_pendingView.primary;
}

/** Waits until the known view shows a write. One without an answer may have taken effect or may
 * still do so.
 */
void synchronous_change::resolveWrite(const change_context &context, time_point now)
{
    const bool isReplaced = context.view && context.view->revision > m_pendingView.revision;
    const auto committed = m_writtenAt ? m_writtenAt : context.latest;
    if (isReplaced && isPendingView(*context.view) && committed) {
        m_writeUnresolved = false;
        m_writtenAt.reset();
        return continueAfterWrite(*committed, context, now);
    }
    if (isReplaced && !isPendingView(*context.view)) {
        m_writeUnresolved = false;
        m_writtenAt.reset();
        enter(step::none, now);
        m_notBefore = now + m_policy.writeRetryInterval;
        return;
    }
    if (now - m_unresolvedReadAt < m_policy.storeReadInterval)
        return;
    m_unresolvedReadAt = now;
    if (!m_writtenAt && now - m_stepBeganAt > m_policy.writeRetryInterval) {
        // Repeating the write is safe: both carry the same revision, so at most one can succeed.
        m_writeUnresolved = false;
        m_isWriting = true;
        m_stepBeganAt = now;
        m_outputs.push_back(write_view{m_pendingView, m_pendingClaimRevision});
        return;
    }
    m_outputs.push_back(read_views{});
}

void synchronous_change::sendStatement(const server_id &server, outgoing_statement statement,
                                       duration interval, time_point now)
{
    auto &member = m_members[server];
    if (now - member.statementSentAt < interval)
        return;
    member.statementSentAt = now;
    m_outputs.push_back(send_statement{server, std::move(statement)});
}

term_number synchronous_change::nextTerm() const
{
    term_number newest = m_oldTerm;
    for (const auto &[key, each] : m_members)
        if (each.status)
            newest = std::max({newest, each.status->term, each.status->pausedFor,
                               each.status->received.term});
    return newest + 1;
}

void synchronous_change::noteQuorum(const change_context &context)
{
    if (m_intentAt && !m_quorumReleasedAt && context.quorumReleased)
        m_quorumReleasedAt = context.latest;
}

bool synchronous_change::viewsReleased(const change_context &context) const
{
    if (!m_intentAt)
        return false;
    if (mayForeignOrderTakeEffect(context))
        return false;
    if (context.allReleased || m_wasReleased)
        return true;
    const auto extendedUntil = m_quorumReleasedAt ? std::max(*m_intentAt, *m_quorumReleasedAt)
                                                  : *m_intentAt + m_views.quorumExtension;
    return context.earliest
           && *context.earliest > extendedUntil + m_views.validity + m_views.margin;
}

/** Publishes the primary of the newest term. It is known to be the newest one if all members have
 * answered. One replica suffices for a while: a promotion either has paused every replica for its
 * term, or has made the old primary a replica.
 */
void synchronous_change::adoptPrimary(const change_context &context, time_point now)
{
    std::ranges::for_each(context.members, [&](const server_entry &entry) {
        sendStatement(entry.id, member_statement::status{}, m_policy.statementInterval, now);
    });
    const server_id *best = nullptr;
    term_number bestTerm = 0;
    std::size_t answered = 0;
    for (const auto &[id, member] : m_members) {
        if (!member.status)
            continue;
        ++answered;
        if (member.status->role != replication_role::primary)
            continue;
        if (!best || member.status->term > bestTerm) {
            best = &id;
            bestTerm = member.status->term;
        }
    }
    const auto waited = now - m_stepBeganAt;
    const bool haveAllAnswered = answered == m_members.size();
    const bool isNewestTerm = best && bestTerm + 1 >= nextTerm();
    const bool haveEnoughAnswered =
            haveAllAnswered
            || (waited > m_policy.catchUpTimeout && (answered > 1 || !context.formerView));
    if (isNewestTerm && haveEnoughAnswered) {
        m_oldPrimary = *best;
        noteEvent("current primary found",
                  {{"primary", best->str()}, {"term", std::to_string(bestTerm)}});
        return publish(*best, context, now);
    }
    if (context.formerView) {
        const bool isOverdue = waited > m_policy.adoptionTimeout;
        if (isOverdue && !isNewestTerm && answered > 0 && !mayForeignOrderTakeEffect(context))
            replaceUnknownPrimary(context, now);
    } else if (!best && answered > 0 && haveAllAnswered && waited > m_policy.promotionTimeout) {
        replaceUnknownPrimary(context, now);
    }
}

/** Begins to replace a primary that was not found. It is the one of the former view if no member
 * knows a later term; otherwise it is not known, and every member has to be fenced.
 */
void synchronous_change::replaceUnknownPrimary(const change_context &context, time_point now)
{
    const auto newestTerm = nextTerm() - 1;
    if (context.formerView && newestTerm <= context.formerView->term) {
        m_oldPrimary = context.formerView->primary;
        m_oldPrimaryLed = context.formerView->phase == view_phase::steady;
    }
    m_oldTerm = newestTerm;
    write(view_phase::withdrawn, m_oldPrimary, m_oldTerm, context, step::writingIntent, now);
}

/** \returns whether \a server is the primary that is to be replaced although it was not found. */
bool synchronous_change::isUnknownPrimary(const server_id &server) const
{
    const auto *status = statusOf(server);
    return m_oldPrimary.empty() && status && status->role == replication_role::primary
           && status->term >= m_oldTerm;
}

/** Fences the old primary and reads positions until a member may be promoted. */
void synchronous_change::queryStatus(const change_context &context, time_point now)
{
    const bool mayFence = !m_isPlanned || viewsReleased(context);
    if (!mayFence)
        return;
    if (m_fencingTerm <= m_oldTerm || m_fencingTerm < nextTerm())
        m_fencingTerm = nextTerm();
    if (const auto late = memberPromotedLate()) {
        noteEvent("promotion took effect after its timeout", {{"primary", late->str()}});
        return publish(*late, context, now);
    }
    if (mayKeepOldPrimary(now) && oldPrimaryLeads(context)) {
        m_oldKeptAt = now;
        noteEvent("old primary answers again and is kept", {{"primary", m_oldPrimary.str()}});
        return publish(m_oldPrimary, context, now);
    }
    if (!m_oldPrimary.empty() && !m_steppedDown && m_members.contains(m_oldPrimary)) {
        if (mayKeepOldPrimary(now) && !statusOf(m_oldPrimary))
            sendStatement(m_oldPrimary, member_statement::status{}, m_policy.statementInterval,
                          now);
        else
            sendStatement(m_oldPrimary, member_statement::step_down{m_fencingTerm},
                          m_policy.statementInterval, now);
    } else if (m_steppedDown) {
        sendStatement(m_oldPrimary, member_statement::status{}, m_policy.fencedQueryInterval, now);
    }
    if (!m_fencingSince)
        m_fencingSince = now;
    const bool catchingUp = m_isPlanned && now - *m_fencingSince < m_policy.catchUpTimeout;
    for (const auto &[id, member] : m_members) {
        if (id == m_oldPrimary)
            continue;
        if (catchingUp) {
            sendStatement(id, member_statement::status{}, m_policy.statementInterval / 4, now);
            continue;
        }
        if (member.status && member.status->role == replication_role::primary) {
            // Only a replica can be paused.
            sendStatement(id, member_statement::step_down{m_fencingTerm},
                          m_policy.statementInterval, now);
            continue;
        }
        m_paused.insert(id);
        if (member.status && member.status->pausedFor > m_oldTerm) {
            sendStatement(id, member_statement::status{}, m_policy.fencedQueryInterval, now);
            continue;
        }
        sendStatement(id, member_statement::pause{m_fencingTerm}, m_policy.statementInterval, now);
    }
    renewFloor(context, now);
    if (!viewsReleased(context) || !context.storeReachable)
        return;
    const auto chosen = chooseMember(context, now);
    if (!chosen || (isLeaving(*chosen, context) && awaitsReadyMember(context, now)))
        return;
    m_chosen = *chosen;
    noteEvent("member chosen for promotion",
              {{"server", m_chosen.str()},
               {"received", textOf(m_members.at(m_chosen).status->received)},
               {"old_primary_fenced", m_steppedDown ? "true" : "false"},
               {"all_released", context.allReleased ? "true" : "false"}});
    write(view_phase::ordered, m_chosen, m_oldTerm, context, step::writingOrder, now);
}

/** \returns whether the old primary may be kept if it answers: nothing was ordered since its view
 * was steady, and it was not told to step down.
 */
bool synchronous_change::mayKeepOldPrimary(time_point now) const
{
    return (m_reason == change_reason::unreachable || m_reason == change_reason::noView)
           && !m_hasOrdered
           && (!m_oldKeptAt || *m_oldKeptAt >= m_beganAt
               || now - *m_oldKeptAt > m_policy.keepCooldown);
}

bool synchronous_change::oldPrimaryLeads(const change_context &context) const
{
    if (!oldLogIsComplete() || isLeaving(m_oldPrimary, context))
        return false;
    const auto &status = *statusOf(m_oldPrimary);
    return status.role == replication_role::primary && status.term == m_oldTerm;
}

/** \returns whether \a server is the old primary under another id. Terms have one primary each, so
 * that a member that leads the old term has the old primary's log.
 */
bool synchronous_change::isOldPrimaryRenamed(const server_id &server) const
{
    const auto *status = statusOf(server);
    const auto *old = statusOf(m_oldPrimary);
    const bool hasSteppedDown = m_steppedDown && m_oldPrimaryLed;
    return server != m_oldPrimary && !m_oldPrimary.empty() && !hasSteppedDown && status
           && status->role == replication_role::primary && status->term == m_oldTerm
           && (!old || old->role != replication_role::primary);
}

/** Continues the change with the id under which the old primary answers. The former id no longer
 * counts as a holder of commits if it is known to have led the term; in the view of an unfinished
 * change it may be that of the chosen member.
 */
void synchronous_change::renameOldPrimary(const server_id &server)
{
    noteEvent("old primary answers under another id",
              {{"primary", server.str()}, {"former", m_oldPrimary.str()}});
    if (std::exchange(m_oldPrimaryLed, true)) {
        std::erase_if(m_holders,
                      [&](const auto &each) { return each.first.server == m_oldPrimary; });
        m_members.erase(m_oldPrimary);
    }
    m_paused.erase(server);
    m_oldPrimary = server;
    m_steppedDown = false;
}

/** \returns whether the old primary has reported a log that certainly holds every acknowledged
 * commit. If it has restarted, its new incarnation may not be listed yet; this shows in a log that
 * is shorter than that of another member.
 */
bool synchronous_change::oldLogIsComplete() const
{
    const auto *old = statusOf(m_oldPrimary);
    return old && hasOneIncarnation(m_oldPrimary)
           && std::ranges::none_of(m_members, [&](const auto &each) {
                  const auto &status = each.second.status;
                  return status && status->received > old->received;
              });
}

bool synchronous_change::isLeaving(const server_id &server, const change_context &context) const
{
    const auto *entry = entryOf(context, server);
    return !entry || entry->state == server_state::draining || entry->isEvacuated;
}

/** \returns whether a member that isn't leaving may still prove to hold every commit. */
bool synchronous_change::awaitsReadyMember(const change_context &context, time_point now) const
{
    if (!m_fencingSince || now - *m_fencingSince >= m_policy.catchUpTimeout)
        return false;
    return std::ranges::any_of(context.members, [&](const server_entry &entry) {
        return entry.id != m_oldPrimary && !isLeaving(entry.id, context);
    });
}

/** \returns a member whose log certainly holds every acknowledged commit. */
std::optional<server_id> synchronous_change::chooseMember(const change_context &context, time_point)
{
    struct ranked
    {
        log_position received;
        bool isReady = false;
        bool listed = false;
        server_id server;
    };
    std::vector<ranked> known;
    const auto isOldOrFenced = [&](const log_holder &holder) {
        return holder.server == m_oldPrimary || isFenced(holder, context);
    };
    const bool everyReplicaFenced =
            context.hasAllMembers && std::ranges::all_of(m_holders, isOldOrFenced, keyOf);
    for (const auto &[id, member] : m_members) {
        if (id == m_oldPrimary || !member.status)
            continue;
        const auto *entry = entryOf(context, id);
        known.push_back(
                {member.status->received, entry && !isLeaving(id, context), entry != nullptr, id});
    }
    if (known.empty() && !m_steppedDown)
        return std::nullopt;
    const auto isBetter = [](const ranked &left, const ranked &right) {
        return std::tie(left.isReady, left.received, right.server)
               < std::tie(right.isReady, right.received, left.server);
    };
    const auto bestOf = [&](log_position least) -> std::optional<server_id> {
        const ranked *best = nullptr;
        for (const auto &each : known)
            if (each.listed && each.received >= least && (!best || isBetter(*best, each)))
                best = &each;
        return best ? std::optional(best->server) : std::nullopt;
    };
    const bool oldIsComplete = m_steppedDown && oldLogIsComplete();
    if (oldIsComplete) {
        const auto last = statusOf(m_oldPrimary)->received;
        if (auto best = bestOf(last))
            return best;
    }
    if (everyReplicaFenced && !known.empty()) {
        // Every acknowledged commit is in one of these logs, and none of them can grow.
        const auto longest = std::ranges::max_element(known, {}, &ranked::received)->received;
        return bestOf(longest);
    }
    if (oldIsComplete && entryOf(context, m_oldPrimary)
        && (!m_isPlanned || !isLeaving(m_oldPrimary, context)))
        return m_oldPrimary; // only its log is certainly complete; a draining one is replaced later
    return std::nullopt;
}

bool synchronous_change::isFenced(const log_holder &holder, const change_context &context) const
{
    const auto *status = statusOf(holder.server);
    return status && status->pausedFor > m_oldTerm && isListedIncarnation(holder, context);
}

/** \returns a position that no acknowledged commit exceeds, and the time until which this is
 * certain.
 */
std::optional<freshness_floor> synchronous_change::lastFloor(const change_context &context) const
{
    if (context.synchronousReplicas == 0 || !context.storeReachable || m_holders.empty())
        return std::nullopt;
    const bool oldIsReplica = m_steppedDown && hasOneIncarnation(m_oldPrimary);
    if (!oldIsReplica && !context.hasAllMembers)
        return std::nullopt;
    std::optional<freshness_floor> floor;
    for (const auto &[holder, state] : m_holders) {
        const auto *status = statusOf(holder.server);
        const bool isOld = holder.server == m_oldPrimary;
        if (isOld && !oldIsReplica)
            continue; // it can't acknowledge a commit without a replica
        const bool isReplica = status && status->role == replication_role::replica
                               && isListedIncarnation(holder, context);
        if (!isReplica || (!oldIsReplica && !isFenced(holder, context)))
            return std::nullopt;
        const freshness_floor own{status->received, m_members.at(holder.server).statusRequestedAt};
        floor = floor ? freshness_floor{std::max(floor->position, own.position),
                                        std::min(floor->coversCommitsUntil, own.coversCommitsUntil)}
                      : own;
    }
    if (floor)
        floor->coversCommitsUntil -= m_policy.maximumListingDelay;
    return floor;
}

void synchronous_change::publishFloor(const change_context &context)
{
    if (m_step != step::queryingStatus && m_step != step::writingOrder
        && m_step != step::confirming)
        return;
    const auto floor = lastFloor(context);
    if (!floor
        || (m_publishedFloor && floor->coversCommitsUntil <= m_publishedFloor->coversCommitsUntil))
        return;
    m_outputs.push_back(publish_floor{m_database, *floor, !m_publishedFloor});
    m_publishedFloor = floor;
}

/** Queries the members again on whose answers the floor is based. */
void synchronous_change::renewFloor(const change_context &context, time_point now)
{
    if (!lastFloor(context))
        return;
    const auto queryAgain = [&](const log_holder &holder) {
        if (holder.server != m_oldPrimary || m_steppedDown)
            sendStatement(holder.server, member_statement::status{}, m_policy.floorInterval, now);
    };
    std::ranges::for_each(m_holders, queryAgain, keyOf);
}

/** Takes the actions that the current step allows now. None is taken on a view that may have been
 * replaced by a write of this change.
 */
void synchronous_change::advance(const change_context &context, time_point now)
{
    if (mayHaveWritten())
        return;
    switch (m_step) {
    case step::adopting:
        return adoptPrimary(context, now);
    case step::resuming:
        return awaitForeignOrder(context, now);
    case step::queryingStatus:
        return queryStatus(context, now);
    case step::confirming:
        return confirm(context, now);
    default:
        return;
    }
}

change_outputs synchronous_change::onMemberAnswered(const server_id &server,
                                                    const std::optional<replication_status> &status,
                                                    time_point requestedAt,
                                                    const change_context &context, time_point now)
{
    const bool isOfFormerChange = isRunning() && requestedAt < m_beganAt;
    if (!status || isOfFormerChange)
        return takeOutputs();
    auto &member = m_members[server];
    member.status = status;
    member.statusRequestedAt = requestedAt;
    if (!isRunning()) {
        if (status->pausedFor == 0)
            m_paused.erase(server);
        const bool leads = status->role == replication_role::primary && context.view
                           && context.view->phase == view_phase::steady
                           && context.view->primary == server && context.view->term == status->term;
        if (leads) {
            m_primaryPosition = freshness_floor{status->received, requestedAt};
            m_primaryPositionTerm = status->term;
        }
        return takeOutputs();
    }
    member.lastListedAt = std::max(member.lastListedAt, now);
    if (m_step == step::queryingStatus && isUnknownPrimary(server)) {
        m_oldPrimary = server;
        m_oldTerm = status->term;
        m_oldPrimaryLed = true;
        m_paused.erase(server);
    }
    if (m_step == step::queryingStatus && isOldPrimaryRenamed(server))
        renameOldPrimary(server);
    if (m_step == step::queryingStatus && server == m_oldPrimary)
        m_steppedDown = status->role == replication_role::replica;
    publishFloor(context);
    advance(context, now);
    return takeOutputs();
}

void synchronous_change::onMemberEnded(const server_id &server, time_point now)
{
    for (auto &[holder, state] : m_holders)
        if (holder.server == server && state.isDraining && !state.endedBy)
            state.endedBy = now;
}

/** Forgets holders that have ended and whose commits another replica holds. A position that the
 * primary reports after the end of a member covers every commit that the member had confirmed, so
 * a replica that has reached this position holds them all.
 */
void synchronous_change::dropEndedHolders(const change_context &context, time_point now)
{
    if (!context.view || context.view->phase != view_phase::steady)
        return;
    const auto &primary = context.view->primary;
    std::optional<time_point> lastEnd;
    for (const auto &[holder, state] : m_holders) {
        if (holder.server == primary || !state.isDraining || isListedIncarnation(holder, context))
            continue;
        if (state.endedBy)
            lastEnd = std::max(lastEnd.value_or(*state.endedBy), *state.endedBy);
        else if (!entryOf(context, holder.server))
            sendStatement(holder.server, member_statement::status{}, m_policy.removedMemberInterval,
                          now);
    }
    if (!lastEnd)
        return;
    if (!m_primaryPosition || m_primaryPositionTerm != context.view->term
        || m_primaryPosition->coversCommitsUntil < *lastEnd)
        return sendStatement(primary, member_statement::status{}, m_policy.statementInterval, now);
    const auto hasReached = [&](const server_entry &entry) {
        const auto *status = statusOf(entry.id);
        return entry.id != primary && status && status->role == replication_role::replica
               && m_members.at(entry.id).statusRequestedAt >= *lastEnd
               && status->received >= m_primaryPosition->position;
    };
    if (std::ranges::none_of(context.members, hasReached)) {
        std::ranges::for_each(context.members, [&](const server_entry &entry) {
            if (entry.id != primary)
                sendStatement(entry.id, member_statement::status{}, m_policy.statementInterval,
                              now);
        });
        return;
    }
    std::erase_if(m_holders, [&](const auto &each) {
        const auto &[holder, state] = each;
        if (!state.endedBy || *state.endedBy > m_primaryPosition->coversCommitsUntil)
            return false;
        noteEvent("commits of an ended member are held by another replica",
                  {{"server", holder.server.str()},
                   {"received", textOf(m_primaryPosition->position)}});
        return true;
    });
}

change_outputs synchronous_change::onOrderAnswered(std::optional<bool> accepted,
                                                   const change_context &, time_point now)
{
    if (m_step != step::confirming)
        return takeOutputs();
    if (accepted == false) {
        noteEvent("platform refused the promotion", {{"server", m_chosen.str()}});
        restartStatusQuery(now);
    }
    return takeOutputs();
}

/** \returns the member that was promoted by an order of this change after the order's timeout. */
std::optional<server_id> synchronous_change::memberPromotedLate() const
{
    if (!m_hasOrdered)
        return std::nullopt;
    std::optional<server_id> newest;
    for (const auto &[id, member] : m_members)
        if (wasPromoted(id) && (!newest || member.status->term > statusOf(*newest)->term))
            newest = id;
    return newest;
}

/** Returns to the status query after a promotion that failed or may still take effect. The chosen
 * member has to be fenced again.
 */
void synchronous_change::restartStatusQuery(time_point now)
{
    auto &chosen = m_members[m_chosen];
    chosen.status.reset();
    chosen.statementSentAt = {};
    m_firstOrderedAt.reset();
    if (m_chosen == m_oldPrimary)
        m_steppedDown = false;
    enter(step::queryingStatus, now);
}

void synchronous_change::confirm(const change_context &context, time_point now)
{
    if (wasPromoted(m_chosen)) {
        m_promotionTime = now - m_orderedAt;
        return publish(m_chosen, context, now);
    }
    if (now - *m_firstOrderedAt > m_policy.promotionTimeout) {
        noteEvent("promotion had no effect within its timeout", {{"server", m_chosen.str()}});
        restartStatusQuery(now);
        return;
    }
    if (now - m_orderedAt > m_policy.orderRetryInterval + m_promotionTime
        && context.storeReachable) {
        // The order is written again first: only the supervisor with the newest fencing token may
        // send it.
        write(view_phase::ordered, m_chosen, m_oldTerm, context, step::writingOrder, now);
        return;
    }
    const bool isDue = now - m_orderedAt >= m_policy.firstConfirmDelay;
    if (isDue)
        sendStatement(m_chosen, member_statement::status{}, m_policy.confirmInterval, now);
    renewFloor(context, now);
}

void synchronous_change::finish(const change_context &, time_point now)
{
    noteEvent("new primary view published",
              {{"primary", m_pendingView.primary.str()},
               {"term", std::to_string(m_pendingView.term)},
               {"took_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                  now - m_beganAt)
                                                  .count())}});
    enter(step::none, now);
    m_notBefore = now;
    m_finishedAt = now;
    m_paused.erase(m_pendingView.primary);
    resumeReplicas(now);
}

/** Resumes replication on all replicas that were told to pause, even if they didn't answer. */
void synchronous_change::resumeReplicas(time_point now)
{
    if (now - m_finishedAt > m_policy.resumeTimeout)
        m_paused.clear();
    std::ranges::for_each(m_paused, [&](const server_id &server) {
        sendStatement(server, member_statement::resume{}, m_policy.statementInterval, now);
    });
}

change_outputs synchronous_change::tick(const change_context &context, time_point now)
{
    mergeRecordedHolders(context, now);
    updateMembers(context, now);
    recordHolders(context, now);
    noteQuorum(context);
    if (!isRunning()) {
        resumeReplicas(now);
        dropEndedHolders(context, now);
        return takeOutputs();
    }
    if (m_writeUnresolved)
        resolveWrite(context, now);
    advance(context, now);
    return takeOutputs();
}

} // namespace sycamorespan
