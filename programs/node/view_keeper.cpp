#include "programs/node/view_keeper.h"
#include "sycamorespan/src/Core/map_projections.h"

#include "programs/node/coordination_rows.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Net/clock.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace sycamorespan::node {

namespace {

/** The holder confirms the views so often for all: a quarter of a view's validity. */
constexpr duration confirmInterval = 600ms;
/** Whoever has not heard of a confirmation for so long reads for itself. */
constexpr duration confirmMissing = 1100ms;
/** In a large fleet that would be a crowd at the store: later instances wait longer. */
constexpr duration confirmPatience = 600ms;
constexpr duration ownReadInterval = 400ms;
constexpr duration storeTimeout = 600ms; ///< thirty usual answers
constexpr duration writeTimeout = 1s;
constexpr duration orderTimeout = 1s;
constexpr duration registerRetry = 300ms;

/** Statements under way at a primary that leaves may end for so long: four times the longest usual
 * statement. Open transactions that wait for their caller are ended after half of it.
 */
constexpr duration plannedRelease = 350ms;
/** The same for a primary that does not answer. */
constexpr duration unplannedRelease = 100ms;

constexpr duration suspectAfter = 500ms; ///< of silence of the primary
constexpr duration stallAfter = 700ms; ///< without an answer to any write
constexpr int suspectFailures = 2; ///< openings in a row
constexpr duration demotionMemory = 1s;

/** A floor is renewed at this age: half of the smallest staleness bound in use. */
constexpr duration floorAge = 700ms;

constexpr duration askTimeout = 400ms;
constexpr duration askRepeat = 25ms; ///< after a refusal for want of a slot
/** Members that left the list can still be asked whether they have ended: as long as a change may
 * wait for them.
 */
constexpr duration departedMemory = change_policy{}.lapsedMember;
constexpr duration controlIdle = 3s; ///< then a connection for supervision is closed

/** Until one was measured. */
constexpr duration usualPromotion = 1100ms;
constexpr duration usualSurvey = 200ms;

/** Connections for supervision belong to no workspace. */
const workspace_id supervisorName("sycamorespan");

supervision_policy supervisionPolicy()
{
    return {};
}

} // namespace

view_keeper::view_keeper(ev::loop_ref loop, const instance_run &self, store_client &store,
                         const endpoint &duties, dispatcher &statements, peer_table &peers,
                         event_log &log, random_source random, handlers callbacks)
    : m_loop(loop)
    , m_self(self)
    , m_store(store)
    , m_duties(loop, "http://" + duties.str(), orderTimeout)
    , m_dispatcher(statements)
    , m_peers(peers)
    , m_log(log)
    , m_random(std::move(random))
    , m_handlers(std::move(callbacks))
    , m_ledger(view_policy{})
    , m_election(self.instance, self.boot, election_policy{}, suspendAwareNow())
    , m_supervisor(supervisionPolicy(), view_policy{})
    , m_readOrder(uniformUnit(m_random))
    , m_promotionTook(usualPromotion)
{ }

bool view_keeper::storeReachable(time_point now) const
{
    const auto last = m_store.lastAnswered();
    return last && now - *last < storeSilence;
}

void view_keeper::setServers(const std::vector<server_entry> &servers, time_point now)
{
    m_servers = servers;
    std::ranges::for_each(servers, [&](const server_entry &entry) {
        m_lastEntries.insert_or_assign(entry.id, listed_entry{entry, now});
    });
    std::erase_if(m_lastEntries, [&](const auto &each) {
        return now - each.second.listed > departedMemory; // a listed one was just seen
    });
}

void view_keeper::tick(time_point now)
{
    m_closed.clear();
    if (!isRegistered())
        registerInstance(now);
    readRows(now);
    m_ledger.setRegistered(m_peers.registered(), m_self.instance);
    elect(now);
    reportSuspicions(now);
    supervise(now);
    refreshFloors(now);
    checkAsked(now);
    applyViews(now);
    dropForgotten(now);
}

void view_keeper::registerInstance(time_point now)
{
    if (m_registering || now < m_registerAfter || m_leaving)
        return;
    m_registering = true;
    m_registerAfter = now + registerRetry;
    m_store.call(platform::putRow(coordination_rows::table,
                                  coordination_rows::instanceKey(m_self.instance),
                                  coordination_rows::encode(m_self)),
                 writeTimeout, [this](const store_answer &answer) {
                     m_registering = false;
                     if (!answer.succeeded())
                         return;
                     m_registeredRevision = answer.content.revision;
                     m_log.write(line_importance::state, "instance registered",
                                 {{"revision", std::to_string(m_registeredRevision)}},
                                 suspendAwareNow());
                 });
}

void view_keeper::deregister(std::function<void()> done)
{
    if (!isRegistered())
        return done();
    m_store.call(platform::dropRow(coordination_rows::table,
                                   coordination_rows::instanceKey(m_self.instance),
                                   m_registeredRevision),
                 storeTimeout, [done = std::move(done)](const store_answer &) { done(); });
}

/** Confirms the views: the holder for all, the others when they hear of no confirmation. */
void view_keeper::readRows(time_point now)
{
    if (m_reading)
        return;
    const auto latest = m_store.clock().latest(now);
    const auto confirmed = m_ledger.confirmed();
    const auto patience = fromSeconds(toSeconds(confirmPatience) * m_readOrder);
    const auto limit = confirmMissing + patience;
    // Before the first view is written, a reading that found none will do for as long.
    const bool foundNone = m_rowsRead && m_ledger.views().empty() && now - *m_rowsRead <= limit;
    const bool missing = !foundNone && (!latest || !confirmed || *latest - *confirmed > limit);
    const bool due = m_election.isHolder() ? now - m_lastRead > confirmInterval
                                           : missing && now - m_lastRead > ownReadInterval;
    const bool needed = m_election.needsRead() && now - m_lastRead > ownReadInterval;
    if (due || needed)
        perform(change_action::read_views{}, now);
}

void view_keeper::perform(const change_action::read_views &, time_point now)
{
    if (m_reading)
        return;
    m_reading = true;
    m_lastRead = now;
    m_store.call(platform::readRows(coordination_rows::table, "", ""), storeTimeout,
                 [this](const store_answer &answer) {
                     m_reading = false;
                     if (answer.succeeded())
                         takeRows(answer);
                 });
}

void view_keeper::takeRows(const store_answer &answer)
{
    const auto now = suspendAwareNow();
    m_rowsRead = now;
    std::vector<primary_view> views;
    std::vector<instance_run> instances;
    supervisor_claim claim;
    for (const auto &row : answer.content.rows) {
        if (coordination_rows::isViewKey(row.key)) {
            if (auto view = coordination_rows::decodeView(row.value, row.revision))
                views.push_back(std::move(*view));
        } else if (coordination_rows::isInstanceKey(row.key)) {
            if (auto run = coordination_rows::decodeInstance(row.value))
                instances.push_back(std::move(*run));
        } else if (row.key == coordination_rows::claimKey) {
            claim = coordination_rows::decodeClaim(row.value, row.revision).value_or(claim);
        }
    }
    m_election.learn(claim, now);
    m_peers.setRegistered(instances, now);
    const bool registered = std::ranges::any_of(instances, [&](const instance_run &run) {
        return run.instance == m_self.instance && run.boot == m_self.boot;
    });
    if (!registered && !m_registering)
        m_registeredRevision = 0;
    m_ledger.applySnapshot(views, answer.content.clock);
    applyViews(now);
    if (m_election.isHolder())
        m_handlers.onNews(); // the others wait for the confirmation
}

void view_keeper::received(const peer_report &report, time_point now)
{
    if (report.viewsConfirmed)
        m_ledger.applySnapshot(report.views, *report.viewsConfirmed);
    else
        std::ranges::for_each(report.views,
                              [this](const primary_view &view) { m_ledger.apply(view); });
    if (report.vouches && report.sentAt)
        m_ledger.vouch(report.sender.instance, {}, *report.sentAt);
    m_election.learnHolder(report.supervisor, report.fence);
    const auto latest = m_store.clock().latest(now);
    if (latest) {
        std::ranges::for_each(report.databases, [&](const database_report &each) {
            if (each.floor)
                m_dispatcher.addFloor(each.database, {*each.floor, now - (*latest - each.floorAt)},
                                      now);
        });
    }
    applyViews(now);
}

void view_keeper::elect(time_point now)
{
    const bool isHolder = m_election.isHolder();
    if (isHolder != m_wasHolder) {
        m_wasHolder = isHolder;
        carryOut(m_supervisor.setHolder(isHolder), now);
        m_log.write(line_importance::state,
                    isHolder ? "supervision of primaries taken on"
                             : "supervision of primaries lost",
                    {{"fence", std::to_string(m_election.claim().fence)},
                     {"holder", m_election.claim().holder.str()}},
                    now);
        m_handlers.onNews();
    }
    if (m_claiming || m_leaving || !isRegistered())
        return;
    const auto &holder = m_election.claim().holder;
    election_view view;
    view.storeReachable = storeReachable(now);
    if (!view.storeReachable)
        m_storeSince.reset();
    else if (!m_storeSince)
        m_storeSince = now;
    view.storeReachableFor = m_storeSince ? now - *m_storeSince : duration::zero();
    view.holderSilence = m_peers.silence(holder, now);
    if (const auto *report = m_peers.reportOf(holder)) {
        view.holderReachesStore = report->storeReachable;
        view.holderLeaving = report->leaving;
    }
    view.candidates = m_peers.ranked(now);
    view.heardByOthers = std::ranges::any_of(m_peers.live(now), [&](const instance_run &run) {
        const auto *report = m_peers.reportOf(run.instance);
        return run.instance != holder && report && report->fence == m_election.claim().fence
               && report->supervisorSilence && *report->supervisorSilence < m_peers.silenceLimit();
    });
    const auto proposal = m_election.propose(view, now);
    if (!proposal)
        return;
    m_claiming = true;
    m_store.call(platform::writeRow({coordination_rows::table, coordination_rows::claimKey,
                                     coordination_rows::encode(*proposal), proposal->revision}),
                 writeTimeout, [this](const store_answer &answer) {
                     const auto at = suspendAwareNow();
                     m_claiming = false;
                     if (answer.succeeded())
                         m_election.onWritten(answer.content.revision, at);
                     else if (answer.status == platform::store_status::conflict)
                         m_election.onConflict(at);
                     else
                         m_election.onUnknown(at);
                 });
}

supervision_surroundings view_keeper::surroundings(time_point now) const
{
    return {m_election.claim().fence,
            m_servers,
            m_ledger,
            [this, now](const database_id &database, std::uint64_t revision) {
                const auto own = m_releases.find(database);
                return own != m_releases.end() && own->second.released >= revision
                       && m_peers.released(database, revision, now);
            },
            [this, now](const database_id &database) { return votesOn(database, now); },
            [this](const database_id &database) {
                return m_dispatcher.synchronousReplicas(database);
            },
            m_store.clock().earliest(now),
            m_store.clock().latest(now),
            storeReachable(now)};
}

bool view_keeper::suspects(const database_id &database, const server_id &primary,
                           time_point now) const
{
    const auto silent = m_dispatcher.silentSince(primary);
    const auto stalled = m_dispatcher.writesStalledSince(database);
    return (silent && now - *silent > suspectAfter) || (stalled && now - *stalled > stallAfter)
           || m_dispatcher.failuresOf(primary) >= suspectFailures;
}

bool view_keeper::sawDemotion(const database_id &database, time_point now) const
{
    const auto refused = m_dispatcher.primaryRefused(database);
    return refused && now - *refused < demotionMemory;
}

primary_votes view_keeper::votesOn(const database_id &database, time_point now) const
{
    primary_votes votes;
    const auto *view = m_ledger.find(database);
    if (!view)
        return votes;
    const auto count = [&](bool suspected, bool demoted, bool answered) {
        ++votes.live;
        votes.unreachable += suspected ? 1 : 0;
        votes.demoted += demoted ? 1 : 0;
        votes.answered += answered ? 1 : 0;
    };
    count(suspects(database, view->primary, now), sawDemotion(database, now),
          hears(view->primary, now));
    for (const auto *report : m_peers.recentReports(now)) {
        const auto &reports = report->databases;
        const auto found = std::ranges::find(reports, database, &database_report::database);
        const bool current = found != reports.end() && found->released == view->revision;
        count(current && found->primarySuspected, current && found->primaryDemoted,
              current && found->primaryAnswers);
    }
    return votes;
}

/** \returns whether the primary was heard so lately that it isn't suspected, even if it owes an
 * answer.
 */
bool view_keeper::hears(const server_id &primary, time_point now) const
{
    const auto heard = m_dispatcher.lastHeard(primary);
    return heard && now - *heard <= suspectAfter;
}

/** The supervisor is told at once of a primary that stopped to answer. */
void view_keeper::reportSuspicions(time_point now)
{
    std::set<database_id> suspected;
    for (const auto &view : m_ledger.views())
        if (suspects(view.database, view.primary, now))
            suspected.insert(view.database);
    const bool isNews = !std::ranges::includes(m_suspected, suspected);
    m_suspected = std::move(suspected);
    if (isNews)
        m_handlers.onNews();
}

void view_keeper::supervise(time_point now)
{
    if (m_election.isHolder())
        carryOut(m_supervisor.tick(surroundings(now), now), now);
}

/** Asks primaries for their position where no statement has brought one lately: without a floor
 * every read goes to the primary, such as all of them at once after a start.
 */
void view_keeper::refreshFloors(time_point now)
{
    if (!m_election.isHolder())
        return;
    for (const auto &[database, state] : m_releases) {
        const auto *view = m_ledger.find(database);
        if (!state.isUsable || !view)
            continue;
        const auto floor = m_dispatcher.newestFloor(database);
        if (!floor || now - floor->coversUntil > floorAge)
            ask(view->primary, member_statement::status{}, now);
    }
}

void view_keeper::carryOut(const change_outputs &outputs, time_point now)
{
    std::ranges::for_each(outputs, [&](const change_output &output) {
        std::visit([&](const auto &action) { perform(action, now); }, output);
    });
}

void view_keeper::perform(const change_action::write_view &action, time_point)
{
    const auto view = action.view;
    m_store.call(
            platform::writeRow({coordination_rows::table, coordination_rows::viewKey(view.database),
                                coordination_rows::encode(view), view.revision}),
            writeTimeout, [this, view](const store_answer &answer) {
                const auto now = suspendAwareNow();
                if (answer.succeeded()) {
                    auto written = view;
                    written.revision = answer.content.revision;
                    m_ledger.applyWritten(written, answer.content.clock);
                    applyViews(now);
                    m_handlers.onNews();
                    carryOut(m_supervisor.viewWritten(view.database, written.revision,
                                                      answer.content.clock, surroundings(now), now),
                             now);
                } else if (answer.status == platform::store_status::conflict) {
                    carryOut(m_supervisor.viewConflict(view.database, now), now);
                } else {
                    carryOut(m_supervisor.viewUnknown(view.database, now), now);
                }
            });
}

void view_keeper::perform(const change_action::order_promotion &action, time_point now)
{
    m_log.write(line_importance::state, "promotion ordered",
                {{"database", action.database.str()},
                 {"server", action.server.str()},
                 {"fence", std::to_string(action.fence)}},
                now);
    m_duties.send(
            platform::orderPromotion(action.database.str(), action.server.str(),
                                     m_self.instance.str(), action.fence),
            [this, database = action.database](const http_outcome &outcome) {
                std::optional<bool> accepted;
                int status = 0;
                if (const auto *response = std::get_if<http_response>(&outcome)) {
                    status = response->status;
                    if (status < platform::store_status::tooManyRequests)
                        accepted = status == platform::store_status::ok;
                }
                const auto at = suspendAwareNow();
                m_log.write(line_importance::state, "promotion order answered",
                            {{"database", database.str()}, {"status", std::to_string(status)}}, at);
                carryOut(m_supervisor.orderAnswered(database, accepted, surroundings(at), at), at);
            });
}

void view_keeper::perform(const change_action::note &action, time_point now)
{
    event_fields fields{{"database", action.database.str()}};
    fields.insert(fields.end(), action.fields.begin(), action.fields.end());
    m_log.write(line_importance::state, action.event, fields, now);
}

void view_keeper::perform(const change_action::ask_member &action, time_point now)
{
    ask(action.server, action.statement, now);
}

void view_keeper::perform(const change_action::state_floor &action, time_point now)
{
    m_dispatcher.addFloor(action.database, action.floor, now);
    if (!action.isFirst)
        return;
    m_log.write(line_importance::state, "floor of a fenced database",
                {{"database", action.database.str()},
                 {"term", std::to_string(action.floor.position.term)},
                 {"position", std::to_string(action.floor.position.offset)}},
                now);
    m_handlers.onNews();
}

void view_keeper::ask(const server_id &server, const outgoing_statement &statement, time_point now)
{
    auto &control = m_controls[server];
    if (control.asked)
        return;
    control.asked = statement;
    control.askedAt = now;
    control.used = now;
    control.repeatAt = {};
    if (control.channel) {
        if (control.open)
            control.channel->send({statement});
        return;
    }
    const auto known = m_lastEntries.find(server);
    if (known == m_lastEntries.end()) {
        control.asked.reset();
        return;
    }
    const auto &entry = known->second.entry;
    control.database = entry.database;
    control.open = false;
    try {
        control.channel = std::make_unique<member_channel>(
                m_loop, parseEndpoint(entry.address), entry.database, supervisorName, server,
                member_channel::handlers{
                        [this, server](std::optional<log_position>) {
                            auto &opened = m_controls[server];
                            opened.open = true;
                            if (opened.asked)
                                opened.channel->send({*opened.asked});
                        },
                        [this, server](const statement_answer &answer) {
                            auto &answered = m_controls[server];
                            const auto at = suspendAwareNow();
                            if (!answer.succeeded() || answer.rows.empty()) {
                                answered.repeatAt = at + askRepeat;
                                return;
                            }
                            try {
                                finishAsk(server,
                                          platform::decodeMemberStatus(answer.rows.front()));
                            } catch (const decode_error &failure) {
                                m_log.write(
                                        line_importance::failure, "member status not understood",
                                        {{"server", server.str()}, {"error", failure.what()}}, at);
                                finishAsk(server, std::nullopt);
                            }
                        },
                        [this, server](const channel_end &end) {
                            auto &lost = m_controls[server];
                            if (lost.channel)
                                m_closed.push_back(std::move(lost.channel));
                            lost.open = false;
                            if (end.nobodyListens || end.refusal == statement_error::moved)
                                m_supervisor.memberEnded(lost.database, server, suspendAwareNow());
                            finishAsk(server, std::nullopt);
                        }});
    } catch (const error &) {
        finishAsk(server, std::nullopt);
    }
}

void view_keeper::finishAsk(const server_id &server, std::optional<replication_status> status)
{
    auto &control = m_controls[server];
    if (!control.asked)
        return;
    control.asked.reset();
    const auto now = suspendAwareNow();
    const auto *view = m_ledger.find(control.database);
    const auto release = m_releases.find(control.database);
    const bool leads = status && status->role == replication_role::primary && view
                       && view->primary == server && view->term == status->term
                       && release != m_releases.end() && release->second.isUsable;
    if (leads)
        m_dispatcher.addFloor(control.database, {status->received, control.askedAt}, now);
    carryOut(m_supervisor.memberAnswered(control.database, server, status, control.askedAt,
                                         surroundings(now), now),
             now);
}

void view_keeper::checkAsked(time_point now)
{
    std::vector<server_id> late;
    for (auto &[server, control] : m_controls) {
        if (control.asked && now - control.askedAt > askTimeout) {
            late.push_back(server);
        } else if (control.asked && control.open && control.repeatAt != time_point()
                   && now >= control.repeatAt) {
            control.repeatAt = {};
            control.channel->send({*control.asked});
        } else if (!control.asked && control.channel && now - control.used > controlIdle) {
            control.channel->close();
            m_closed.push_back(std::move(control.channel));
            control.open = false;
        }
    }
    std::ranges::for_each(late, [this](const server_id &server) {
        auto &control = m_controls[server];
        if (control.channel) {
            control.channel->close();
            m_closed.push_back(std::move(control.channel));
        }
        control.open = false;
        finishAsk(server, std::nullopt);
    });
}

std::optional<time_point> view_keeper::toLocal(reference_time until, time_point now) const
{
    const auto latest = m_store.clock().latest(now);
    if (!latest || until <= *latest)
        return std::nullopt;
    return now + (until - *latest);
}

void view_keeper::applyViews(time_point now)
{
    std::ranges::for_each(m_ledger.views(),
                          [&](const primary_view &view) { applyView(view, now); });
}

void view_keeper::applyView(const primary_view &view, time_point now)
{
    auto &state = m_releases[view.database];
    if (view.revision > state.seen) {
        if (state.seen != 0 || view.phase != view_phase::steady)
            m_log.write(line_importance::state, "view changed",
                        {{"database", view.database.str()},
                         {"revision", std::to_string(view.revision)},
                         {"primary", view.primary.str()},
                         {"term", std::to_string(view.term)},
                         {"phase", view.phase == view_phase::steady      ? "steady"
                                   : view.phase == view_phase::withdrawn ? "withdrawn"
                                                                         : "ordered"}},
                        now);
        const bool first = state.seen == state.released;
        state.seen = view.revision;
        if (first) {
            state.since = now;
            const auto patience = view.planned ? plannedRelease : unplannedRelease;
            state.limit = std::min(now + patience, state.usableUntil.value_or(now));
            state.cutIdle = false;
        }
    }
    if (state.released < state.seen)
        releaseOld(view, state, now);
    if (state.released < state.seen)
        return;
    const auto until = m_ledger.usableUntil(view.database);
    const auto local = until ? toLocal(*until, now) : std::nullopt;
    if (!local) {
        if (state.isUsable) {
            state.isUsable = false;
            m_log.write(line_importance::state, "view no longer confirmed",
                        {{"database", view.database.str()},
                         {"primary", view.primary.str()},
                         {"term", std::to_string(view.term)}},
                        now);
            m_handlers.onDispatch(m_dispatcher.setPrimary(view.database, std::nullopt, now));
            m_handlers.onDispatch(m_dispatcher.abandonPrimaryWork(view.database, now));
        }
        if (view.phase != view_phase::steady) {
            const auto ends = view.phase == view_phase::ordered
                                      ? state.since + m_promotionTook
                                      : now + m_promotionTook + usualSurvey;
            m_dispatcher.expectPrimary(view.database, std::max(ends, now));
        }
        return;
    }
    if (!state.isUsable)
        m_log.write(line_importance::state, "view usable",
                    {{"database", view.database.str()},
                     {"primary", view.primary.str()},
                     {"term", std::to_string(view.term)}},
                    now);
    const bool extend = !state.isUsable || !state.usableUntil || *local != *state.usableUntil;
    state.isUsable = true;
    state.usableUntil = local;
    if (extend)
        m_handlers.onDispatch(m_dispatcher.setPrimary(
                view.database, usable_primary{view.primary, view.term, *local}, now));
}

/** Ends what only the old primary may do, then states that the old view is out of use. */
void view_keeper::releaseOld(const primary_view &view, release_state &state, time_point now)
{
    const auto finish = [&] {
        m_handlers.onDispatch(m_dispatcher.setPrimary(view.database, std::nullopt, now));
        state.isUsable = false;
        state.usableUntil.reset();
        state.released = state.seen;
        m_handlers.onNews();
    };
    if (!state.isUsable)
        return finish();
    m_dispatcher.closePrimary(view.database, now);
    m_dispatcher.expectPrimary(view.database, now + m_promotionTook + usualSurvey);
    if (!state.cutIdle && (!view.planned || now - state.since > plannedRelease / 2)) {
        state.cutIdle = true;
        m_handlers.onDispatch(m_dispatcher.endIdleTransactions(view.database, now));
    }
    if (now >= state.limit)
        m_handlers.onDispatch(m_dispatcher.abandonPrimaryWork(view.database, now));
    if (!m_dispatcher.hasPrimaryWork(view.database))
        finish();
}

void view_keeper::dropForgotten(time_point now)
{
    if (!m_election.isHolder() || !storeReachable(now))
        return;
    // One at a time: the table shrinks again soon enough.
    const auto gone = m_peers.forgotten(now);
    if (gone.empty() || m_reading)
        return;
    const auto &run = gone.front();
    m_store.call(platform::readRows(coordination_rows::table,
                                    coordination_rows::instanceKey(run.instance),
                                    coordination_rows::instanceKey(run.instance) + '0'),
                 storeTimeout, [this, run](const store_answer &answer) {
                     for (const auto &row : answer.content.rows) {
                         const auto found = coordination_rows::decodeInstance(row.value);
                         if (found && found->instance == run.instance && found->boot == run.boot)
                             m_store.call(platform::dropRow(coordination_rows::table, row.key,
                                                            row.revision),
                                          storeTimeout, [](const store_answer &) {});
                     }
                 });
}

void view_keeper::fill(peer_report &report, time_point now) const
{
    report.storeReachable = storeReachable(now);
    report.vouches = m_supervisor.vouches() && !m_claiming;
    report.viewsConfirmed = m_ledger.confirmed();
    report.views = m_ledger.views();
    report.supervisor = m_election.claim().holder;
    report.fence = m_election.claim().fence;
    report.supervisorSilence = m_election.isHolder()
                                       ? std::optional<duration>(duration::zero())
                                       : m_peers.silence(m_election.claim().holder, now);
    for (const auto &view : report.views) {
        database_report each;
        each.database = view.database;
        const auto released = m_releases.find(view.database);
        each.released = released == m_releases.end() ? 0 : released->second.released;
        each.primarySuspected = suspects(view.database, view.primary, now);
        each.primaryDemoted = sawDemotion(view.database, now);
        each.primaryAnswers = hears(view.primary, now);
        const auto floor = m_dispatcher.newestFloor(view.database);
        const auto earliest = m_store.clock().earliest(now);
        if (floor && earliest) {
            each.floor = floor->position;
            each.floorAt = *earliest - (now - floor->coversUntil);
        }
        report.databases.push_back(std::move(each));
    }
}

bool view_keeper::allUsable(time_point) const
{
    return !m_releases.empty()
           && std::ranges::all_of(m_releases, &release_state::isUsable, mappedOf);
}

bool view_keeper::anyUsable(time_point) const
{
    return std::ranges::any_of(m_releases, &release_state::isUsable, mappedOf);
}

} // namespace sycamorespan::node
