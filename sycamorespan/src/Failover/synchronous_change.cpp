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
    case change_reason::adoption:
        return "no view yet";
    case change_reason::leaving:
        return "the primary is leaving";
    case change_reason::gone:
        return "the primary left the list";
    case change_reason::unreachable:
        return "the primary does not answer";
    case change_reason::missed:
        return "many instances miss the primary";
    case change_reason::demoted:
        return "the primary is a replica now";
    case change_reason::resumption:
        return "an unfinished change";
    }
    return "unknown";
}

std::string textOf(log_position position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.offset);
}

const server_entry *entryOf(const change_surroundings &around, const server_id &server)
{
    const auto found = std::ranges::find(around.members, server, &server_entry::id);
    return found == around.members.end() ? nullptr : &*found;
}

} // namespace

synchronous_change::synchronous_change(database_id database, const change_policy &policy,
                                       const view_policy &views)
    : m_database(std::move(database))
    , m_policy(policy)
    , m_views(views)
    , m_promotionTook(policy.expectedPromotion)
{ }

void synchronous_change::noteEvent(std::string event,
                                   std::vector<std::pair<std::string, std::string>> fields)
{
    m_outputs.push_back(note{m_database, std::move(event), std::move(fields)});
}

void synchronous_change::enter(step next, time_point now)
{
    m_step = next;
    m_entered = now;
}

std::optional<time_point> synchronous_change::expectedEnd(time_point now) const
{
    const auto promotion = m_promotionTook + m_policy.confirmInterval;
    switch (m_step) {
    case step::none:
        return std::nullopt;
    case step::adopting:
        return now;
    case step::resuming:
    case step::writingIntent:
    case step::surveying:
    case step::writingOrder:
        return now + m_policy.expectedSurvey + promotion;
    case step::confirming:
        return std::max(m_ordered + promotion, now);
    case step::publishing:
        return now;
    }
    return std::nullopt;
}

void synchronous_change::abandon()
{
    if (m_step != step::none)
        noteEvent("change of primary abandoned to another supervisor");
    m_step = step::none;
    m_writing = false;
    m_unresolved = false;
    m_paused.clear();
}

void synchronous_change::updateMembers(const change_surroundings &around, time_point now)
{
    std::ranges::for_each(around.members, [&](const server_entry &entry) {
        auto &member = m_members[entry.id];
        member.listed = now;
        const bool isDraining = entry.state == server_state::draining;
        const bool isNewRun = m_holders
                                      .insert_or_assign(log_holder{entry.id, entry.startedAtMs},
                                                        holder_state{now, isDraining, {}})
                                      .second;
        if (isNewRun)
            member.status.reset(); // it was of a former run
    });
    std::erase_if(m_members, [&](const auto &each) {
        return now - each.second.listed > m_policy.lapsedMember;
    });
    const bool oldMayAnswer =
            isRunning() && holdsAllCommits(m_old) && entryOf(around, m_old) != nullptr;
    if (oldMayAnswer)
        return;
    std::erase_if(m_holders, [&](const auto &each) {
        return now - each.second.listed > m_policy.lapsedMember;
    });
}

/** \returns whether \a server, as the old primary, has had one log all the while: another run of it
 * has lost what the former one held.
 */
bool synchronous_change::holdsAllCommits(const server_id &server) const
{
    const auto isRun = [&](const log_holder &each) { return each.server == server; };
    return std::ranges::count_if(m_holders, isRun, keyOf) == 1;
}

bool synchronous_change::isListedRun(const log_holder &holder,
                                     const change_surroundings &around) const
{
    const auto *entry = entryOf(around, holder.server);
    return entry && entry->startedAtMs == holder.startedAtMs;
}

std::vector<log_holder> synchronous_change::holders() const
{
    std::vector<log_holder> result;
    std::ranges::transform(m_holders, std::back_inserter(result), keyOf);
    return result;
}

change_outputs synchronous_change::begin(change_reason reason, const change_surroundings &around,
                                         time_point now)
{
    if (isRunning() || now < m_notBefore)
        return take();
    m_reason = reason;
    m_begun = now;
    m_planned = reason == change_reason::leaving;
    m_steppedDown = false;
    m_fencingSince.reset();
    m_firstOrder.reset();
    m_hasOrdered = false;
    m_askTerm = 0;
    m_paused.clear();
    m_wasReleased = false;
    m_floor.reset();
    m_intentAt.reset();
    m_foreignOrder.reset();
    m_chosen = {};
    for (auto &[key, each] : m_members) {
        each.status.reset();
        each.asked = {};
    }
    updateMembers(around, now);
    if (!around.view) {
        enter(step::adopting, now);
        m_old = {};
        m_oldTerm = 0;
        adopt(around, now);
        return take();
    }
    std::ranges::for_each(around.view->holders, [&](const log_holder &holder) {
        m_holders.try_emplace(holder, holder_state{now, false, {}});
        m_members.try_emplace(holder.server).first->second.listed = now;
    });
    m_oldTerm = around.view->term;
    m_old = around.view->primary;
    noteEvent("change of primary begins", {{"reason", std::string(nameOf(reason))},
                                           {"primary", m_old.str()},
                                           {"term", std::to_string(m_oldTerm)},
                                           {"fence", std::to_string(around.fence)}});
    if (around.view->phase == view_phase::ordered) {
        // Nothing is ordered before the views are dropped, and none was usable since.
        m_wasReleased = true;
        if (around.latest)
            m_foreignOrder = *around.latest + m_policy.foreignOrderWait;
        enter(step::resuming, now);
        awaitForeignOrder(around, now);
        return take();
    }
    write(view_phase::withdrawn, m_old, m_oldTerm, around, step::writingIntent, now);
    return take();
}

/** Publishes what a former supervisor ordered once it has taken effect; begins anew if it can't any
 * more.
 */
void synchronous_change::awaitForeignOrder(const change_surroundings &around, time_point now)
{
    if (leadsAnew(m_old)) {
        noteEvent("promotion of the former supervisor took effect", {{"primary", m_old.str()}});
        return publish(m_old, around, now);
    }
    const bool over = !m_foreignOrder || (around.earliest && *around.earliest >= *m_foreignOrder);
    if (over || !entryOf(around, m_old)) {
        write(view_phase::withdrawn, m_old, m_oldTerm, around, step::writingIntent, now);
        return;
    }
    ask(m_old, member_statement::status{}, m_policy.confirmInterval, now);
}

void synchronous_change::write(view_phase phase, const server_id &primary, term_number term,
                               const change_surroundings &around, step next, time_point now)
{
    enter(next, now);
    m_wanted = {m_database,   around.view ? around.view->revision : 0,
                primary,      term,
                phase,        m_planned,
                around.fence, phase == view_phase::steady ? std::vector<log_holder>() : holders()};
    m_writing = true;
    m_outputs.push_back(write_view{m_wanted});
}

/** Writes the view of a member that has said that it leads. */
void synchronous_change::publish(const server_id &primary, const change_surroundings &around,
                                 time_point now)
{
    write(view_phase::steady, primary, statusOf(primary)->term, around, step::publishing, now);
}

/** \returns what the member answered last; nullptr if it hasn't yet. */
const replication_status *synchronous_change::statusOf(const server_id &server) const
{
    const auto member = m_members.find(server);
    return member != m_members.end() && member->second.status ? &*member->second.status : nullptr;
}

/** \returns whether a promotion of the member has taken effect since the view of the old primary.
 */
bool synchronous_change::leadsAnew(const server_id &server) const
{
    const auto *status = statusOf(server);
    return status && status->role == replication_role::primary && status->term > m_oldTerm;
}

change_outputs synchronous_change::viewWritten(std::uint64_t revision, reference_time committed,
                                               const change_surroundings &around, time_point now)
{
    if (!m_writing)
        return take();
    m_writing = false;
    switch (m_step) {
    case step::writingIntent:
        m_intentAt = committed;
        m_intentRevision = revision;
        enter(step::surveying, now);
        survey(around, now);
        break;
    case step::writingOrder:
        m_intentRevision = revision;
        if (now - m_entered > m_policy.orderLimit) {
            // Another supervisor may already count on this order not being sent.
            noteEvent("order given up: it was written too slowly");
            enter(step::surveying, now);
            break;
        }
        enter(step::confirming, now);
        m_ordered = now;
        m_hasOrdered = true;
        if (!m_firstOrder)
            m_firstOrder = now;
        m_outputs.push_back(order_promotion{m_database, m_chosen, around.fence});
        break;
    case step::publishing:
        finish(around, now);
        break;
    default:
        break;
    }
    return take();
}

change_outputs synchronous_change::viewConflict(time_point now)
{
    if (!m_writing)
        return take();
    m_writing = false;
    // Somebody else wrote the row; what it says now decides what is to be done.
    noteEvent("change of primary stopped: the view was changed by another supervisor");
    enter(step::none, now);
    m_notBefore = now + m_policy.writeRetry;
    m_outputs.push_back(read_views{});
    return take();
}

change_outputs synchronous_change::viewUnknown(time_point now)
{
    if (!m_writing)
        return take();
    m_writing = false;
    m_unresolved = true;
    m_unresolvedRead = now;
    m_outputs.push_back(read_views{});
    return take();
}

/** A write had no answer: it may have been done, or may still be. */
void synchronous_change::resolve(const change_surroundings &around, time_point now)
{
    const bool written = around.view && around.view->revision > m_wanted.revision
                         && around.view->fence == m_wanted.fence
                         && around.view->phase == m_wanted.phase
                         && around.view->primary == m_wanted.primary;
    if (written && around.latest) {
        m_unresolved = false;
        m_writing = true;
        const auto more = viewWritten(around.view->revision, *around.latest, around, now);
        m_outputs.insert(m_outputs.end(), more.begin(), more.end());
        return;
    }
    if (around.view && around.view->revision > m_wanted.revision) {
        m_unresolved = false;
        enter(step::none, now);
        m_notBefore = now + m_policy.writeRetry;
        return;
    }
    if (now - m_unresolvedRead < m_policy.storeReadInterval)
        return;
    m_unresolvedRead = now;
    if (now - m_entered > m_policy.writeRetry) {
        // Repeating it is safe: both carry the same condition, so that one of them can succeed.
        m_unresolved = false;
        m_writing = true;
        m_entered = now;
        m_outputs.push_back(write_view{m_wanted});
        return;
    }
    m_outputs.push_back(read_views{});
}

void synchronous_change::ask(const server_id &server, outgoing_statement statement,
                             duration interval, time_point now)
{
    auto &member = m_members[server];
    if (now - member.asked < interval)
        return;
    member.asked = now;
    m_outputs.push_back(ask_member{server, std::move(statement)});
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

bool synchronous_change::released(const change_surroundings &around) const
{
    if (!m_intentAt)
        return false;
    if (m_foreignOrder && (!around.earliest || *around.earliest < *m_foreignOrder))
        return false;
    if (around.allReleased || m_wasReleased)
        return true;
    return around.earliest && *around.earliest > *m_intentAt + m_views.validity + m_views.margin;
}

void synchronous_change::adopt(const change_surroundings &around, time_point now)
{
    std::ranges::for_each(around.members, [&](const server_entry &entry) {
        ask(entry.id, member_statement::status{}, m_policy.askInterval, now);
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
    if (best && (answered == m_members.size() || now - m_entered > m_policy.catchUpLimit)) {
        m_old = *best;
        noteEvent("primary found", {{"primary", best->str()}, {"term", std::to_string(bestTerm)}});
        return publish(*best, around, now);
    }
    if (!best && answered > 0 && answered == m_members.size()
        && now - m_entered > m_policy.orderPatience)
        write(view_phase::withdrawn, {}, nextTerm() - 1, around, step::writingIntent, now);
}

/** Fences the old primary and reads positions until a member may be promoted. */
void synchronous_change::survey(const change_surroundings &around, time_point now)
{
    const bool mayFence = !m_planned || released(around);
    if (!mayFence)
        return;
    if (m_askTerm <= m_oldTerm || m_askTerm < nextTerm())
        m_askTerm = nextTerm();
    if (const auto late = promotedLate()) {
        noteEvent("promotion took effect late", {{"primary", late->str()}});
        return publish(*late, around, now);
    }
    if (mayKeepOld(now) && oldLeadsAgain(around)) {
        m_kept = now;
        noteEvent("primary answers again and is kept", {{"primary", m_old.str()}});
        return publish(m_old, around, now);
    }
    if (!m_old.empty() && !m_steppedDown && m_members.contains(m_old)) {
        if (mayKeepOld(now) && !statusOf(m_old))
            ask(m_old, member_statement::status{}, m_policy.askInterval, now);
        else
            ask(m_old, member_statement::step_down{m_askTerm}, m_policy.askInterval, now);
    }
    if (!m_fencingSince)
        m_fencingSince = now;
    const bool catchingUp = m_planned && now - *m_fencingSince < m_policy.catchUpLimit;
    for (const auto &[id, member] : m_members) {
        if (id == m_old)
            continue;
        if (catchingUp) {
            ask(id, member_statement::status{}, m_policy.askInterval / 4, now);
            continue;
        }
        if (member.status && member.status->pausedFor > m_oldTerm)
            continue;
        m_paused.insert(id);
        ask(id, member_statement::pause{m_askTerm}, m_policy.askInterval, now);
    }
    renewFloor(around, now);
    if (!released(around) || !around.storeReachable)
        return;
    const auto chosen = choose(around, now);
    if (!chosen || (isLeaving(*chosen, around) && awaitsStayingMember(around, now)))
        return;
    m_chosen = *chosen;
    noteEvent("member chosen for promotion",
              {{"server", m_chosen.str()},
               {"received", textOf(m_members.at(m_chosen).status->received)},
               {"old_primary_fenced", m_steppedDown ? "true" : "false"},
               {"all_released", around.allReleased ? "true" : "false"}});
    write(view_phase::ordered, m_chosen, m_oldTerm, around, step::writingOrder, now);
}

/** \returns whether the old primary still leads if it answers: nothing was ordered since its view
 * was steady, and it wasn't told to step down.
 */
bool synchronous_change::mayKeepOld(time_point now) const
{
    return m_reason == change_reason::unreachable && !m_hasOrdered
           && (!m_kept || *m_kept >= m_begun || now - *m_kept > m_policy.keptPause);
}

bool synchronous_change::oldLeadsAgain(const change_surroundings &around) const
{
    if (!oldLogIsWhole() || isLeaving(m_old, around))
        return false;
    const auto &status = *statusOf(m_old);
    return status.role == replication_role::primary && status.term == m_oldTerm;
}

/** \returns whether the old primary has shown a log that certainly holds every acknowledged commit.
 * One that started anew may not be listed as another run yet: its log is shorter than others.
 */
bool synchronous_change::oldLogIsWhole() const
{
    const auto *old = statusOf(m_old);
    return old && holdsAllCommits(m_old) && std::ranges::none_of(m_members, [&](const auto &each) {
               const auto &status = each.second.status;
               return status && status->received > old->received;
           });
}

bool synchronous_change::isLeaving(const server_id &server, const change_surroundings &around) const
{
    const auto *entry = entryOf(around, server);
    return !entry || entry->state == server_state::draining;
}

/** \returns whether a member that stays may still turn out to have everything. */
bool synchronous_change::awaitsStayingMember(const change_surroundings &around,
                                             time_point now) const
{
    if (!m_fencingSince || now - *m_fencingSince >= m_policy.catchUpLimit)
        return false;
    return std::ranges::any_of(around.members, [&](const server_entry &entry) {
        return entry.id != m_old && entry.state == server_state::ready;
    });
}

/** \returns a member whose log certainly holds every acknowledged commit. */
std::optional<server_id> synchronous_change::choose(const change_surroundings &around, time_point)
{
    struct ranked
    {
        log_position received;
        bool staying = false;
        bool listed = false;
        server_id server;
    };
    std::vector<ranked> known;
    const auto isOldOrFenced = [&](const log_holder &holder) {
        return holder.server == m_old || isFenced(holder, around);
    };
    const bool everyReplicaFenced = std::ranges::all_of(m_holders, isOldOrFenced, keyOf);
    for (const auto &[id, member] : m_members) {
        if (id == m_old || !member.status)
            continue;
        const auto *entry = entryOf(around, id);
        known.push_back({member.status->received, entry && entry->state == server_state::ready,
                         entry != nullptr, id});
    }
    if (known.empty() && !m_steppedDown)
        return std::nullopt;
    const auto isBetter = [](const ranked &left, const ranked &right) {
        return std::tie(left.staying, left.received, right.server)
               < std::tie(right.staying, right.received, left.server);
    };
    const auto bestOf = [&](log_position least) -> std::optional<server_id> {
        const ranked *best = nullptr;
        for (const auto &each : known)
            if (each.listed && each.received >= least && (!best || isBetter(*best, each)))
                best = &each;
        return best ? std::optional(best->server) : std::nullopt;
    };
    const bool oldIsComplete = m_steppedDown && oldLogIsWhole();
    if (oldIsComplete) {
        const auto last = statusOf(m_old)->received;
        if (auto best = bestOf(last))
            return best;
    }
    if (everyReplicaFenced && !known.empty()) {
        // An acknowledged commit is in the log of one of them, and none of them grows any more.
        const auto longest = std::ranges::max_element(known, {}, &ranked::received)->received;
        return bestOf(longest);
    }
    if (oldIsComplete && !m_planned && entryOf(around, m_old))
        return m_old; // only its own log is certainly complete; if it drains, it hands over next
    return std::nullopt;
}

bool synchronous_change::isFenced(const log_holder &holder, const change_surroundings &around) const
{
    const auto *status = statusOf(holder.server);
    return status && status->pausedFor > m_oldTerm && isListedRun(holder, around);
}

/** \returns a position that no acknowledged commit exceeds, and until when that certainly held. */
std::optional<freshness_floor>
synchronous_change::lastFloor(const change_surroundings &around) const
{
    if (around.synchronousReplicas == 0 || !around.storeReachable || m_holders.empty())
        return std::nullopt;
    const bool oldIsReplica = m_steppedDown && holdsAllCommits(m_old);
    std::optional<freshness_floor> floor;
    for (const auto &[holder, state] : m_holders) {
        const auto *status = statusOf(holder.server);
        const bool isOld = holder.server == m_old;
        if (isOld && !oldIsReplica)
            continue; // it can't acknowledge anything without a replica
        const bool isReplica =
                status && status->role == replication_role::replica && isListedRun(holder, around);
        if (!isReplica || (!oldIsReplica && !isFenced(holder, around)))
            return std::nullopt;
        const freshness_floor own{status->received, m_members.at(holder.server).statusAsked};
        floor = floor ? freshness_floor{std::max(floor->position, own.position),
                                        std::min(floor->coversUntil, own.coversUntil)}
                      : own;
    }
    if (floor)
        floor->coversUntil -= m_policy.listingDelay;
    return floor;
}

void synchronous_change::stateFloor(const change_surroundings &around)
{
    if (m_step != step::surveying && m_step != step::writingOrder && m_step != step::confirming)
        return;
    const auto floor = lastFloor(around);
    if (!floor || (m_floor && floor->coversUntil <= m_floor->coversUntil))
        return;
    m_outputs.push_back(state_floor{m_database, *floor, !m_floor});
    m_floor = floor;
}

/** Asks those again whose answers the floor rests on. */
void synchronous_change::renewFloor(const change_surroundings &around, time_point now)
{
    if (!lastFloor(around))
        return;
    const auto askAgain = [&](const log_holder &holder) {
        if (holder.server != m_old || m_steppedDown)
            ask(holder.server, member_statement::status{}, m_policy.floorInterval, now);
    };
    std::ranges::for_each(m_holders, askAgain, keyOf);
}

/** Does what the present step allows now. */
void synchronous_change::advance(const change_surroundings &around, time_point now)
{
    switch (m_step) {
    case step::adopting:
        return adopt(around, now);
    case step::resuming:
        return awaitForeignOrder(around, now);
    case step::surveying:
        return survey(around, now);
    case step::confirming:
        return confirm(around, now);
    default:
        return;
    }
}

change_outputs synchronous_change::memberAnswered(const server_id &server,
                                                  const std::optional<replication_status> &status,
                                                  time_point asked,
                                                  const change_surroundings &around, time_point now)
{
    const bool isOfFormerChange = isRunning() && asked < m_begun;
    if (!status || isOfFormerChange)
        return take();
    auto &member = m_members[server];
    member.status = status;
    member.statusAsked = asked;
    if (!isRunning()) {
        if (status->pausedFor == 0)
            m_paused.erase(server);
        const bool leads = status->role == replication_role::primary && around.view
                           && around.view->phase == view_phase::steady
                           && around.view->primary == server && around.view->term == status->term;
        if (leads) {
            m_primaryPosition = freshness_floor{status->received, asked};
            m_primaryPositionTerm = status->term;
        }
        return take();
    }
    member.listed = std::max(member.listed, now);
    if (m_step == step::surveying && server == m_old)
        m_steppedDown = status->role == replication_role::replica;
    stateFloor(around);
    advance(around, now);
    return take();
}

void synchronous_change::memberEnded(const server_id &server, time_point now)
{
    for (auto &[holder, state] : m_holders)
        if (holder.server == server && state.isDraining && !state.ended)
            state.ended = now;
}

/** Every commit that a member had confirmed when it ended is covered by a position that the primary
 * told afterwards. A replica that has reached it holds them all.
 */
void synchronous_change::dropEndedHolders(const change_surroundings &around, time_point now)
{
    if (!around.view || around.view->phase != view_phase::steady)
        return;
    const auto &primary = around.view->primary;
    std::optional<time_point> lastEnd;
    for (const auto &[holder, state] : m_holders) {
        if (holder.server == primary || !state.isDraining || isListedRun(holder, around))
            continue;
        if (state.ended)
            lastEnd = std::max(lastEnd.value_or(*state.ended), *state.ended);
        else if (!entryOf(around, holder.server))
            ask(holder.server, member_statement::status{}, m_policy.departedInterval, now);
    }
    if (!lastEnd)
        return;
    if (!m_primaryPosition || m_primaryPositionTerm != around.view->term
        || m_primaryPosition->coversUntil < *lastEnd)
        return ask(primary, member_statement::status{}, m_policy.askInterval, now);
    const auto hasReached = [&](const server_entry &entry) {
        const auto *status = statusOf(entry.id);
        return entry.id != primary && status && status->role == replication_role::replica
               && m_members.at(entry.id).statusAsked >= *lastEnd
               && status->received >= m_primaryPosition->position;
    };
    if (std::ranges::none_of(around.members, hasReached)) {
        std::ranges::for_each(around.members, [&](const server_entry &entry) {
            if (entry.id != primary)
                ask(entry.id, member_statement::status{}, m_policy.askInterval, now);
        });
        return;
    }
    std::erase_if(m_holders, [&](const auto &each) {
        const auto &[holder, state] = each;
        if (!state.ended || *state.ended > m_primaryPosition->coversUntil)
            return false;
        noteEvent("member that ended is not needed any more",
                  {{"server", holder.server.str()},
                   {"received", textOf(m_primaryPosition->position)}});
        return true;
    });
}

change_outputs synchronous_change::orderAnswered(std::optional<bool> accepted,
                                                 const change_surroundings &, time_point now)
{
    if (m_step != step::confirming)
        return take();
    if (accepted == false) {
        noteEvent("promotion refused by the platform", {{"server", m_chosen.str()}});
        surveyAgain(now);
    }
    return take();
}

/** \returns the member that leads by an order of this change that was given up. */
std::optional<server_id> synchronous_change::promotedLate() const
{
    if (!m_hasOrdered)
        return std::nullopt;
    std::optional<server_id> newest;
    for (const auto &[id, member] : m_members)
        if (leadsAnew(id) && (!newest || member.status->term > statusOf(*newest)->term))
            newest = id;
    return newest;
}

/** The promotion of the chosen member failed, or may still take effect: it is to be fenced again.
 */
void synchronous_change::surveyAgain(time_point now)
{
    auto &chosen = m_members[m_chosen];
    chosen.status.reset();
    chosen.asked = {};
    m_firstOrder.reset();
    if (m_chosen == m_old)
        m_steppedDown = false;
    enter(step::surveying, now);
}

void synchronous_change::confirm(const change_surroundings &around, time_point now)
{
    if (leadsAnew(m_chosen)) {
        m_promotionTook = now - m_ordered;
        return publish(m_chosen, around, now);
    }
    if (now - *m_firstOrder > m_policy.orderPatience) {
        noteEvent("promotion had no effect", {{"server", m_chosen.str()}});
        surveyAgain(now);
        return;
    }
    if (now - m_ordered > m_policy.orderInterval + m_promotionTook && around.storeReachable) {
        // Written again first: only the holder of the newest fencing token may send an order.
        write(view_phase::ordered, m_chosen, m_oldTerm, around, step::writingOrder, now);
        return;
    }
    const bool isDue = now - m_ordered >= m_policy.confirmAfter;
    if (isDue)
        ask(m_chosen, member_statement::status{}, m_policy.confirmInterval, now);
    renewFloor(around, now);
}

void synchronous_change::finish(const change_surroundings &, time_point now)
{
    noteEvent("primary published",
              {{"primary", m_wanted.primary.str()},
               {"term", std::to_string(m_wanted.term)},
               {"took_ms",
                std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_begun)
                                       .count())}});
    enter(step::none, now);
    m_notBefore = now;
    m_finished = now;
    m_paused.erase(m_wanted.primary);
    resumeReplicas(now);
}

/** Lets replicas receive again that were told to pause, whether they answered or not. */
void synchronous_change::resumeReplicas(time_point now)
{
    if (now - m_finished > m_policy.resumeLimit)
        m_paused.clear();
    std::ranges::for_each(m_paused, [&](const server_id &server) {
        ask(server, member_statement::resume{}, m_policy.askInterval, now);
    });
}

change_outputs synchronous_change::tick(const change_surroundings &around, time_point now)
{
    updateMembers(around, now);
    if (!isRunning()) {
        resumeReplicas(now);
        dropEndedHolders(around, now);
        return take();
    }
    if (m_unresolved)
        resolve(around, now);
    if (m_writing || m_unresolved)
        return take();
    advance(around, now);
    return take();
}

} // namespace sycamorespan
