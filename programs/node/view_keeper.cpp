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

/** Timeout of a store call that writes no view, claim or registration: 30 times the usual time of
 * an answer.
 */
constexpr duration readTimeout = 600ms;
constexpr duration writeTimeout = 1s;
constexpr duration promotionOrderTimeout = 1s;
constexpr duration registrationRetryDelay = 300ms;

/** Time that statements at the former primary have to finish in a switchover: four times the
 * longest usual statement. Open transactions that wait for their caller are ended after half of it.
 */
constexpr duration switchoverReleaseTimeout = 350ms;
/** Time that statements at the former primary have to finish in a failover. It is shorter because
 * the former primary does not answer.
 */
constexpr duration failoverReleaseTimeout = 100ms;

/** Time without an answer after which the primary is suspected to have failed. */
constexpr duration unresponsiveTimeout = 500ms;
/** Time without an answer to any write after which the primary is suspected to have failed. */
constexpr duration stalledWriteTimeout = 700ms;
/** Number of consecutive failures to open a connection after which the primary is suspected to have
 * failed.
 */
constexpr int maxConnectFailures = 2;
/** Time for which reports mention that the primary refused a write because it was demoted. */
constexpr duration demotionRetention = 1s;

/** Minimum time between two applications of the attestations. */
constexpr duration attestationInterval = 100ms;

/** Time after its registration during which an instance that the store did not know before claims
 * nothing. The others attest to views without it as long as none of them has read the rows, and
 * each of those that reach the store does so more often.
 */
constexpr duration newInstanceDelay = 5s;

/** Age at which a floor is renewed: half of the smallest staleness bound in use. */
constexpr duration maxFloorAge = 700ms;

/** Timeout of a request on a supervision connection. */
constexpr duration queryTimeout = 400ms;
/** Delay before a request is repeated that the member refused because no slot was free. */
constexpr duration queryRetryDelay = 25ms;
/** Time for which the entry of a removed member is kept. For as long as a change of primary may
 * wait for a removed member, it can be queried to find out whether its process has ended.
 */
constexpr duration removedMemberRetention = change_policy{}.removedMemberTimeout;
/** Idle time after which a supervision connection is closed. */
constexpr duration controlIdleTimeout = 3s;

/** Expected duration of a promotion. */
constexpr duration expectedPromotionTime = 1100ms;
/** Expected duration of the status query that precedes a promotion. */
constexpr duration expectedStatusQueryTime = 200ms;

/** Name in place of a workspace on supervision connections, which belong to no workspace. */
const workspace_id supervisorWorkspace("sycamorespan");

} // namespace

view_keeper::view_keeper(ev::loop_ref loop, const instance_incarnation &self, store_client &store,
                         const endpoint &promotionService, dispatcher &statementDispatcher,
                         fleet_table &fleet, event_log &log, event_guard &guard,
                         random_source random, handlers callbacks)
    : m_loop(loop)
    , m_self(self)
    , m_store(store)
    , m_promotionService(loop, "http://" + promotionService.str(), promotionOrderTimeout)
    , m_dispatcher(statementDispatcher)
    , m_fleet(fleet)
    , m_log(log)
    , m_guard(guard)
    , m_random(std::move(random))
    , m_handlers(std::move(callbacks))
    , m_ledger(view_policy{})
    , m_supervision(self.instance, self.incarnation, election_policy{}, supervision_policy{},
                    view_policy{}, suspendAwareNow())
    , m_reads(row_read_policy{}, uniformUnit(m_random))
    , m_startedAt(suspendAwareNow())
    , m_promotionTime(expectedPromotionTime)
{ }

bool view_keeper::storeReachable(time_point now) const
{
    const auto last = m_store.lastAnswered();
    return last && now - *last < storeOutageTimeout;
}

void view_keeper::setServers(const std::vector<server_entry> &servers, time_point now)
{
    m_servers = servers;
    std::ranges::for_each(servers, [&](const server_entry &entry) {
        m_knownServers.insert_or_assign(entry.id, listed_entry{entry, now});
    });
    std::erase_if(m_knownServers, [&](const auto &each) {
        return now - each.second.lastListed
               > removedMemberRetention; // the loop above has renewed listed entries
    });
}

void view_keeper::tick(time_point now)
{
    m_closedChannels.clear();
    if (!isRegistered())
        registerInstance(now);
    readRows(now);
    applyAttestations(now);
    elect(now);
    reportSuspicions(now);
    supervise(now);
    refreshFloors(now);
    checkQueries(now);
    applyViews(now);
    removeExpiredInstances(now);
}

void view_keeper::onStoreEra(store_era era, time_point now)
{
    performAll(m_supervision.onStoreEra(era), now);
    m_formerRows.clear();
    m_recordedHolders.clear();
    m_rowsRequested = true;
}

/** Writes the row of this instance. The rows are read first, which tells whether the other
 * instances may know this one already. The store performs the writes of a restarted fleet one after
 * the other, but answers reads in parallel, so that each instance must write only once.
 */
void view_keeper::registerInstance(time_point now)
{
    const bool hasReadRowsOfEra = m_rowsReadAt && m_rowsReadRevision.era() == m_store.era();
    if (m_isRegistering || now < m_nextRegistrationAt || m_isStopping || !hasReadRowsOfEra)
        return;
    m_isRegistering = true;
    m_nextRegistrationAt = now + registrationRetryDelay;
    const auto key = coordination_rows::instanceKey(m_self.instance);
    const auto value = coordination_rows::encode(m_self);
    const bool requiresNoRow = !m_isNewInstance;
    m_store.call(requiresNoRow ? platform::writeRow({coordination_rows::table, key, value, 0})
                               : platform::putRow(coordination_rows::table, key, value),
                 writeTimeout, [this, requiresNoRow](const store_answer &answer) {
                     m_isRegistering = false;
                     if (answer.succeeded()) {
                         if (requiresNoRow)
                             m_isNewInstance = true;
                         noteRegistration(answer.content.revision, answer.content.clock);
                     } else if (answer.status == platform::store_status::conflict) {
                         handleExistingRegistration(answer);
                     }
                 });
}

/** Handles the row that the store holds already: that of a former incarnation, or one that this
 * incarnation wrote without learning of it.
 */
void view_keeper::handleExistingRegistration(const store_answer &answer)
{
    for (const auto &row : answer.content.rows) {
        const auto written = coordination_rows::decodeInstance(row.value);
        if (written && written->incarnation == m_self.incarnation) {
            m_isNewInstance = true;
            return noteRegistration(answer.content.revision, answer.content.clock);
        }
    }
    m_isNewInstance = false;
    m_nextRegistrationAt = {};
}

void view_keeper::noteRegistration(store_revision revision, reference_time clock)
{
    const auto now = suspendAwareNow();
    if (m_registeredAt == time_point())
        m_registeredAt = now;
    m_registeredAtRevision = revision;
    m_ledger.setRegisteredAt(clock, revision.era());
    m_log.write(line_importance::state, "instance registered", {{"revision", textOf(revision)}},
                now);
    // Only views that are confirmed after the registration may be used.
    m_rowsRequested = true;
    m_reads.resetInterval();
    readRows(now);
}

void view_keeper::deregister(std::function<void()> done)
{
    if (!isRegistered())
        return done();
    removeRegistration(m_self, std::move(done));
}

/** Deletes the row of an incarnation, unless it is that of a later one, then calls \a done, also
 * after a failure.
 */
void view_keeper::removeRegistration(const instance_incarnation &incarnation,
                                     std::function<void()> done)
{
    const auto key = coordination_rows::instanceKey(incarnation.instance);
    m_store.call(platform::readRow(coordination_rows::table, key), readTimeout,
                 [this, incarnation, done = std::move(done)](const store_answer &answer) {
                     const auto isOf = [&](const platform::store_row &row) {
                         const auto found = coordination_rows::decodeInstance(row.value);
                         return found && found->instance == incarnation.instance
                                && found->incarnation == incarnation.incarnation;
                     };
                     const auto &rows = answer.content.rows;
                     const auto row = std::ranges::find_if(rows, isOf);
                     if (row == rows.end())
                         return done();
                     m_store.call(
                             platform::deleteRow(coordination_rows::table, row->key, row->revision),
                             readTimeout, [done](const store_answer &) { done(); });
                 });
}

/** Reads the rows when they are due, to confirm the views or to learn what they hold. */
void view_keeper::readRows(time_point now)
{
    const auto latest = m_store.clock().latest(now);
    const auto confirmed = m_ledger.confirmed();
    row_read_context context;
    context.isSupervisor = isSupervisor();
    context.isRelay = m_fleet.isRelay();
    context.isRequested = m_supervision.needsRead() || m_rowsRequested;
    // A change waits for the instances that were registered before its intent was written.
    context.isUrgent =
            isSupervisor() && std::ranges::any_of(m_ledger.views(), [this](const auto &view) {
                return view.phase == view_phase::withdrawn
                       && storeAfter(view.revision) > m_fleet.instancesRevision();
            });
    // Before the first view is written, a read that found none counts as its confirmation.
    if (m_rowsReadAt && m_ledger.views().empty())
        context.confirmationAge = now - *m_rowsReadAt;
    else if (latest && confirmed)
        context.confirmationAge = *latest - *confirmed;
    if (m_reads.isDue(context, now))
        perform(change_action::read_rows{}, now);
}

void view_keeper::perform(const change_action::read_rows &, time_point now)
{
    if (m_reads.isReading())
        return;
    const bool wasRequested = std::exchange(m_rowsRequested, false);
    m_reads.onStarted(now);
    m_store.readAll({coordination_rows::table}, readTimeout,
                    [this, wasRequested](const store_answer &answer) {
                        m_reads.onAnswered(answer.succeeded());
                        if (answer.succeeded())
                            applyRows(answer);
                        else
                            m_rowsRequested = m_rowsRequested || wasRequested;
                    });
}

/** Reads the rows of all views. If it fails, the change of primary repeats the action. */
void view_keeper::perform(const change_action::read_views &action, time_point)
{
    m_viewsRequested = m_isReadingViews; // what is read now may precede the write
    if (std::exchange(m_isReadingViews, true))
        return;
    m_store.readAll({coordination_rows::table, coordination_rows::viewKeysBegin,
                     coordination_rows::viewKeysEnd},
                    readTimeout, [this, action](const store_answer &answer) {
                        const auto now = suspendAwareNow();
                        m_isReadingViews = false;
                        if (std::exchange(m_viewsRequested, false))
                            perform(action, now);
                        if (answer.succeeded())
                            applyViewRows(answer, now);
                    });
}

/** Applies the rows of all views. */
void view_keeper::applyViewRows(const store_answer &answer, time_point now)
{
    for (const auto &row : answer.content.rows) {
        if (const auto view = coordination_rows::decodeView(row.value, row.revision))
            m_ledger.applyRead(*view, answer.content.clock, answer.content.revision);
        else
            m_handlers.onRejectedRow(row);
    }
    applyViews(now);
    m_handlers.onUpdate(report_cause::requested);
    supervise(now);
}

void view_keeper::applyRows(const store_answer &answer)
{
    const auto now = suspendAwareNow();
    const bool isFirstRead = !m_rowsReadAt;
    m_rowsReadAt = now;
    std::vector<primary_view> views;
    std::vector<instance_incarnation> instances;
    bool hasOwnRow = false;
    std::map<database_id, recorded_holders> holders;
    std::map<database_id, primary_view> formerRows;
    supervisor_claim claim;
    std::optional<row_revision> revisionOfRejectedClaim;
    for (const auto &row : answer.content.rows) {
        if (coordination_rows::isViewKey(row.key)) {
            auto view = coordination_rows::decodeView(row.value, row.revision);
            if (!view)
                m_handlers.onRejectedRow(row);
            else if (view->isOfPresentEra())
                views.push_back(std::move(*view));
            else
                formerRows.insert_or_assign(view->database, *view);
        } else if (coordination_rows::isInstanceKey(row.key)) {
            auto incarnation = coordination_rows::decodeInstance(row.value);
            if (!incarnation) {
                m_handlers.onRejectedRow(row);
                continue;
            }
            hasOwnRow = hasOwnRow
                        || (incarnation->instance == m_self.instance
                            && incarnation->incarnation == m_self.incarnation);
            instances.push_back(std::move(*incarnation));
        } else if (const auto database = coordination_rows::databaseOfHoldersKey(row.key)) {
            holders[*database] = decodeHolders(row);
        } else if (row.key == coordination_rows::claimKey) {
            if (const auto decoded = coordination_rows::decodeClaim(row.value, row.revision)) {
                claim = *decoded;
            } else {
                m_handlers.onRejectedRow(row);
                revisionOfRejectedClaim = row.revision;
            }
        }
    }
    if (revisionOfRejectedClaim)
        claim = replaceableClaim(*revisionOfRejectedClaim, views);
    m_recordedHolders = std::move(holders);
    m_formerRows = std::move(formerRows);
    m_rowsReadRevision = answer.content.revision;
    m_fleet.setInstances(instances, answer.content.clock, answer.content.revision, now);
    updateRegistration(hasOwnRow, answer);
    if (isFirstRead) {
        const bool hasFormerRow =
                std::ranges::find(instances, m_self.instance, &instance_incarnation::instance)
                != instances.end();
        if (hasFormerRow)
            m_isNewInstance = false;
        m_nextRegistrationAt = {};
        registerInstance(now);
    }
    std::ranges::for_each(views, [&](const primary_view &view) {
        m_ledger.applyRead(view, answer.content.clock, answer.content.revision);
    });
    performAll(m_supervision.onRowsRead(claim, views, answer.content.clock, now), now);
    applyViews(now);
    if (isSupervisor())
        m_handlers.onUpdate(report_cause::requested); // the other instances need the confirmation
}

/** Applies what a read of the rows tells of the row of this instance. A store that returned from an
 * older copy has the row or has lost it; leases that began before run on in either case.
 */
void view_keeper::updateRegistration(bool hasOwnRow, const store_answer &answer)
{
    const auto &read = answer.content;
    const bool isOfFormerEra = m_registeredAtRevision != store_revision{} && !isRegistered();
    if (hasOwnRow && isOfFormerEra) {
        m_registeredAtRevision = read.revision;
        m_ledger.setRegisteredAt(read.clock, read.revision.era());
    }
    if (hasOwnRow || m_isRegistering || read.revision < m_registeredAtRevision)
        return;
    m_registeredAtRevision = {};
    if (!isOfFormerEra)
        m_ledger.setRegisteredAt(std::nullopt);
}

/** \returns a claim of no instance in place of one that could not be decoded, so that the next
 * claim can replace its row. Its token is the highest one with which a promotion may have been
 * ordered, because a view is written with the token before each order.
 */
supervisor_claim view_keeper::replaceableClaim(row_revision revision,
                                               const std::vector<primary_view> &views) const
{
    auto token = claim().fencingToken;
    std::ranges::for_each(
            views, [&](const primary_view &view) { token = std::max(token, view.fencingToken); });
    return {revision, {}, 0, token};
}

void view_keeper::applyNews(const fleet_news &news, time_point now)
{
    if (news.viewsDigest == m_ledger.digest() || !news.views.empty()) {
        // The sender's confirmation covers exactly the views of its digest.
        const auto &views = news.views.empty() ? m_ledger.views() : news.views;
        if (news.viewsConfirmed)
            m_ledger.applySnapshot(views, *news.viewsConfirmed);
        else
            std::ranges::for_each(views,
                                  [this](const primary_view &view) { m_ledger.apply(view); });
    }
    performAll(m_supervision.onClaimReported(news.supervisor, news.fencingToken, now), now);
    // The store may have lost the row of this instance, which no other instance writes again.
    m_rowsRequested = m_rowsRequested || eraOf(news.fencingToken) > m_store.era();
    const auto latest = m_store.clock().latest(now);
    if (latest) {
        std::ranges::for_each(news.floors, [&](const floor_report &each) {
            m_dispatcher.addFloor(each.database,
                                  {each.position, now - (*latest - each.coversCommitsUntil)}, now);
        });
    }
    applyViews(now);
}

/** Extends the views by the attestations of the instances, of which this one is one. */
void view_keeper::applyAttestations(time_point now)
{
    if (now - m_attestationsAppliedAt < attestationInterval || !flags(now).attests)
        return;
    m_attestationsAppliedAt = now;
    const auto digest = m_ledger.digest();
    if (const auto at = m_fleet.attestedAt(digest))
        m_ledger.attest(digest, *at);
    if (const auto at = m_fleet.attestedByQuorumAt(digest))
        m_ledger.attestByQuorum(digest, *at);
}

void view_keeper::elect(time_point now)
{
    if (m_isClaiming || m_isStopping || !isRegistered())
        return;
    const auto &supervisor = claim().holder;
    election_context context;
    context.storeReachable = storeReachable(now);
    if (!context.storeReachable)
        m_storeReachableSince.reset();
    else if (!m_storeReachableSince)
        m_storeReachableSince = now;
    context.storeReachableFor =
            m_storeReachableSince ? now - *m_storeReachableSince : duration::zero();
    context.timeSinceHolderHeard = m_fleet.timeSinceHeard(supervisor, now);
    if (const auto holder = m_fleet.flagsOf(supervisor)) {
        context.holderStoreReachable = holder->storeReachable;
        context.holderShuttingDown = holder->shuttingDown;
        context.heardByOthers = true;
    }
    std::ranges::transform(m_fleet.candidates(flags(now)), std::back_inserter(context.candidates),
                           &instance_incarnation::instance);
    context.latest = m_store.clock().latest(now).value_or(reference_time{});
    context.isUnknownToOthers =
            m_isNewInstance.value_or(true) && now - m_registeredAt < newInstanceDelay;
    const auto proposal = m_supervision.propose(context, now);
    if (!proposal)
        return;
    m_isClaiming = true;
    m_store.call(platform::writeRow({coordination_rows::table, coordination_rows::claimKey,
                                     coordination_rows::encode(*proposal), proposal->revision}),
                 writeTimeout, [this](const store_answer &answer) { handleClaimAnswer(answer); });
}

void view_keeper::handleClaimAnswer(const store_answer &answer)
{
    const auto now = suspendAwareNow();
    m_isClaiming = false;
    if (answer.succeeded()) {
        performAll(m_supervision.onClaimWritten(answer.content.clock, now), now);
        m_handlers.onUpdate(report_cause::requested);
    } else if (answer.status == platform::store_status::conflict) {
        m_supervision.onClaimConflict(now);
    } else {
        m_supervision.onClaimWriteUnknown(now);
    }
}

supervision_context view_keeper::supervisionContext(time_point now) const
{
    return {{},
            false,
            {},
            m_servers,
            m_ledger,
            [this](const database_id &database, row_revision revision) {
                const auto own = m_releases.find(database);
                return own != m_releases.end() && own->second.released >= revision
                       && m_fleet.released(revision);
            },
            [this](const database_id &database, row_revision revision) {
                const auto own = m_releases.find(database);
                return m_fleet.releasedByQuorum(
                        revision, own != m_releases.end() && own->second.released >= revision);
            },
            [this](const database_id &database) { return countPrimaryReports(database); },
            [this](const database_id &database) {
                return m_dispatcher.synchronousReplicas(database);
            },
            m_store.clock().earliest(now),
            m_store.clock().latest(now),
            storeReachable(now),
            [this](const database_id &database) {
                const auto known = m_recordedHolders.find(database);
                return known == m_recordedHolders.end() ? std::vector<log_holder>()
                                                        : known->second.holders;
            },
            m_handlers.hasAllServers(),
            [this](const database_id &database) {
                const auto known = m_formerRows.find(database);
                return known == m_formerRows.end() ? std::nullopt : std::optional(known->second);
            }};
}

bool view_keeper::suspectsPrimary(const database_id &database, const server_id &primary,
                                  time_point now) const
{
    const auto unansweredSince = m_dispatcher.unresponsiveSince(primary);
    const auto stalledSince = m_dispatcher.writesUnansweredSince(database);
    return (unansweredSince && now - *unansweredSince > unresponsiveTimeout)
           || (stalledSince && now - *stalledSince > stalledWriteTimeout)
           || m_dispatcher.consecutiveFailures(primary) >= maxConnectFailures;
}

bool view_keeper::sawDemotion(const database_id &database, time_point now) const
{
    const auto refused = m_dispatcher.primaryLastRefusedAt(database);
    return refused && now - *refused < demotionRetention;
}

primary_reports view_keeper::countPrimaryReports(const database_id &database) const
{
    const auto *view = m_ledger.find(database);
    if (!view)
        return {};
    const auto sum = m_fleet.observationOf(database, view->revision);
    return {sum.live, sum.answered, sum.suspecting, sum.demoted};
}

/** \returns whether the last message of the primary is recent enough that the primary is not
 * suspected to have failed, even if an answer is outstanding.
 */
bool view_keeper::heardRecently(const server_id &primary, time_point now) const
{
    const auto heard = m_dispatcher.lastMessageAt(primary);
    return heard && now - *heard <= unresponsiveTimeout;
}

/** Sends a report at once when a primary is newly suspected to have failed. */
void view_keeper::reportSuspicions(time_point now)
{
    std::set<database_id> suspected;
    for (const auto &view : m_ledger.views())
        if (suspectsPrimary(view.database, view.primary, now))
            suspected.insert(view.database);
    const bool hasNewSuspicion = !std::ranges::includes(m_suspectedDatabases, suspected);
    m_suspectedDatabases = std::move(suspected);
    if (hasNewSuspicion)
        m_handlers.onUpdate(report_cause::requested);
}

void view_keeper::supervise(time_point now)
{
    if (isSupervisor())
        performAll(m_supervision.tick(supervisionContext(now), now), now);
}

/** Queries the position of each primary whose floor no recent answer has renewed. Without a floor
 * every read goes to the primary, which would receive all reads at once after a start.
 */
void view_keeper::refreshFloors(time_point now)
{
    if (!isSupervisor())
        return;
    for (const auto &[database, state] : m_releases) {
        const auto *view = m_ledger.find(database);
        if (!state.isUsable || !view)
            continue;
        const auto floor = m_dispatcher.newestFloor(database);
        if (!floor || now - floor->coversCommitsUntil > maxFloorAge)
            query(view->primary, member_statement::status{}, now);
    }
}

void view_keeper::performAll(const change_outputs &outputs, time_point now)
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
                                coordination_rows::encode(view), view.revision},
                               {{coordination_rows::table, coordination_rows::claimKey,
                                 action.claimRevision}}),
            writeTimeout, [this, view](const store_answer &answer) {
                const auto now = suspendAwareNow();
                if (answer.succeeded()) {
                    performAll(m_supervision.onViewWritten(view, answer.content.clock,
                                                           supervisionContext(now), now),
                               now);
                } else if (answer.status == platform::store_status::conflict) {
                    applyClaimRow(answer);
                    performAll(m_supervision.onViewConflict(view, now), now);
                } else {
                    performAll(m_supervision.onViewWriteUnknown(view, now), now);
                }
            });
}

void view_keeper::perform(const change_action::record_holders &action, time_point)
{
    const auto known = m_recordedHolders.find(action.database);
    const auto revision = known == m_recordedHolders.end() ? std::optional(row_revision())
                                                           : known->second.revision;
    if (!revision)
        return readHolders(action.database); // the change of primary repeats the action
    m_store.call(platform::writeRow({coordination_rows::table,
                                     coordination_rows::holdersKey(action.database),
                                     coordination_rows::encode(action.holders), *revision},
                                    {{coordination_rows::table, coordination_rows::claimKey,
                                      action.claimRevision}}),
                 writeTimeout, [this, action](const store_answer &answer) {
                     if (answer.succeeded()) {
                         m_recordedHolders[action.database] = {std::nullopt, action.holders};
                         return readHolders(action.database);
                     }
                     if (answer.status == platform::store_status::conflict)
                         applyClaimRow(answer);
                     m_rowsRequested = true;
                 });
}

/** Reads the record of the members of a database that may hold commits. */
void view_keeper::readHolders(const database_id &database)
{
    const auto key = coordination_rows::holdersKey(database);
    m_store.call(platform::readRow(coordination_rows::table, key), readTimeout,
                 [this, database, key](const store_answer &answer) {
                     for (const auto &row : answer.content.rows)
                         if (row.key == key)
                             m_recordedHolders[database] = decodeHolders(row);
                 });
}

/** \returns the record of a row; that of no member if it could not be decoded. */
view_keeper::recorded_holders view_keeper::decodeHolders(const platform::store_row &row)
{
    auto decoded = coordination_rows::decodeHolders(row.value);
    if (!decoded)
        m_handlers.onRejectedRow(row);
    return {row.revision, std::move(decoded).value_or(std::vector<log_holder>())};
}

/** Learns from a rejected write whether another instance has claimed the role of supervisor. */
void view_keeper::applyClaimRow(const store_answer &answer)
{
    const auto now = suspendAwareNow();
    for (const auto &row : answer.content.rows) {
        if (row.key != coordination_rows::claimKey || row.deleted)
            continue;
        const auto claim = coordination_rows::decodeClaim(row.value, row.revision);
        if (claim && claim->fencingToken > m_supervision.newestClaim().fencingToken)
            performAll(m_supervision.onClaimReported(claim->holder, claim->fencingToken, now), now);
    }
}

void view_keeper::perform(const change_action::order_promotion &action, time_point now)
{
    m_log.write(line_importance::state, "promotion ordered",
                {{"database", action.database.str()},
                 {"server", action.server.str()},
                 {"fence", std::to_string(action.fencingToken)}},
                now);
    m_promotionService.send(platform::orderPromotion(action.database.str(), action.server.str(),
                                                     m_self.instance.str(), action.fencingToken),
                            [this, action](const http_outcome &outcome) {
                                std::optional<bool> accepted;
                                int status = 0;
                                if (const auto *response = std::get_if<http_response>(&outcome)) {
                                    status = response->status;
                                    if (status < platform::store_status::tooManyRequests)
                                        accepted = status == platform::store_status::ok;
                                }
                                const auto at = suspendAwareNow();
                                m_log.write(line_importance::state, "promotion order answered",
                                            {{"database", action.database.str()},
                                             {"status", std::to_string(status)},
                                             {"fence", std::to_string(action.fencingToken)}},
                                            at);
                                m_guard.run("answer to a promotion order", [&] {
                                    performAll(m_supervision.onOrderAnswered(action, accepted,
                                                                             supervisionContext(at),
                                                                             at),
                                               at);
                                });
                            });
}

void view_keeper::perform(const change_action::log_event &action, time_point now)
{
    event_fields fields;
    if (!action.database.empty())
        fields.emplace_back("database", action.database.str());
    fields.insert(fields.end(), action.fields.begin(), action.fields.end());
    m_log.write(line_importance::state, action.event, fields, now);
}

void view_keeper::perform(const change_action::send_statement &action, time_point now)
{
    query(action.server, action.statement, now);
}

void view_keeper::perform(const change_action::publish_floor &action, time_point now)
{
    m_dispatcher.addFloor(action.database, action.floor, now);
    if (!action.isFirst)
        return;
    m_log.write(line_importance::state, "read floor established during change of primary",
                {{"database", action.database.str()},
                 {"term", std::to_string(action.floor.position.term)},
                 {"position", std::to_string(action.floor.position.offset)}},
                now);
    m_handlers.onUpdate(report_cause::requested);
}

void view_keeper::query(const server_id &server, const outgoing_statement &statement,
                        time_point now)
{
    auto &control = m_controls[server];
    if (control.request)
        return;
    control.request = statement;
    control.requestedAt = now;
    control.lastUsed = now;
    control.retryAt = {};
    if (control.channel) {
        if (control.open)
            control.channel->send({statement});
        return;
    }
    const auto known = m_knownServers.find(server);
    if (known == m_knownServers.end()) {
        control.request.reset();
        return;
    }
    const auto &entry = known->second.entry;
    control.database = entry.database;
    control.open = false;
    try {
        control.channel = std::make_unique<member_channel>(
                m_loop, parseEndpoint(entry.address), entry.database, supervisorWorkspace, server,
                member_channel::handlers{
                        [this, server](std::optional<log_position>) {
                            auto &opened = m_controls[server];
                            opened.open = true;
                            if (opened.request)
                                opened.channel->send({*opened.request});
                        },
                        [this, server](const statement_answer &answer) {
                            auto &answered = m_controls[server];
                            const auto at = suspendAwareNow();
                            if (!answer.succeeded() || answer.rows.empty()) {
                                answered.retryAt = at + queryRetryDelay;
                                return;
                            }
                            try {
                                finishQuery(server,
                                            platform::decodeMemberStatus(answer.rows.front()));
                            } catch (const decode_error &failure) {
                                m_log.write(line_importance::failure,
                                            "member status could not be decoded",
                                            {{"server", server.str()}, {"error", failure.what()}},
                                            at);
                                finishQuery(server, std::nullopt);
                            }
                        },
                        [this, server](const channel_end &end) {
                            auto &lost = m_controls[server];
                            if (lost.channel)
                                m_closedChannels.push_back(std::move(lost.channel));
                            lost.open = false;
                            if (end.isConnectionRefused || end.refusal == statement_error::moved)
                                m_supervision.onMemberEnded(lost.database, server,
                                                            suspendAwareNow());
                            finishQuery(server, std::nullopt);
                        }});
    } catch (const error &failure) {
        m_log.write(line_importance::failure, "opening a connection to a member failed",
                    {{"server", server.str()}, {"error", failure.what()}}, now);
        finishQuery(server, std::nullopt);
    }
}

void view_keeper::finishQuery(const server_id &server, std::optional<replication_status> status)
{
    auto &control = m_controls[server];
    if (!control.request)
        return;
    control.request.reset();
    const auto now = suspendAwareNow();
    const auto *view = m_ledger.find(control.database);
    const auto release = m_releases.find(control.database);
    const bool isUsablePrimary = status && status->role == replication_role::primary && view
                                 && view->primary == server && view->term == status->term
                                 && release != m_releases.end() && release->second.isUsable;
    if (isUsablePrimary)
        m_dispatcher.addFloor(control.database, {status->received, control.requestedAt}, now);
    performAll(m_supervision.onMemberAnswered(control.database, server, status, control.requestedAt,
                                              supervisionContext(now), now),
               now);
}

void view_keeper::checkQueries(time_point now)
{
    std::vector<server_id> timedOut;
    for (auto &[server, control] : m_controls) {
        if (control.request && now - control.requestedAt > queryTimeout) {
            timedOut.push_back(server);
        } else if (control.request && control.open && control.retryAt != time_point()
                   && now >= control.retryAt) {
            control.retryAt = {};
            control.channel->send({*control.request});
        } else if (!control.request && control.channel
                   && now - control.lastUsed > controlIdleTimeout) {
            control.channel->close();
            m_closedChannels.push_back(std::move(control.channel));
            control.open = false;
        }
    }
    std::ranges::for_each(timedOut, [this](const server_id &server) {
        auto &control = m_controls[server];
        if (control.channel) {
            control.channel->close();
            m_closedChannels.push_back(std::move(control.channel));
        }
        control.open = false;
        finishQuery(server, std::nullopt);
    });
}

std::optional<time_point> view_keeper::toLocalTime(reference_time until, time_point now) const
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
        if (state.seen != row_revision{} || view.phase != view_phase::steady)
            m_log.write(line_importance::state, "primary view changed",
                        {{"database", view.database.str()},
                         {"revision", textOf(view.revision)},
                         {"primary", view.primary.str()},
                         {"term", std::to_string(view.term)},
                         {"phase", view.phase == view_phase::steady      ? "steady"
                                   : view.phase == view_phase::withdrawn ? "withdrawn"
                                                                         : "ordered"}},
                        now);
        const bool startsRelease = state.seen == state.released;
        state.seen = view.revision;
        // Nothing is to be released if the usable primary was published again.
        const bool isSamePrimary = view.phase == view_phase::steady && state.isUsable
                                   && state.primary == view.primary && state.term == view.term;
        if (startsRelease && isSamePrimary)
            state.released = state.seen;
        if (startsRelease && !isSamePrimary) {
            state.startedAt = now;
            const auto releaseTimeout =
                    view.planned ? switchoverReleaseTimeout : failoverReleaseTimeout;
            state.deadline = std::min(now + releaseTimeout, state.usableUntil.value_or(now));
            state.idleTransactionsEnded = false;
        }
    }
    if (state.released < state.seen)
        releaseFormerView(view, state, now);
    if (state.released < state.seen)
        return;
    const auto until = m_ledger.usableUntil(view.database);
    const auto local = until ? toLocalTime(*until, now) : std::nullopt;
    if (!local) {
        if (state.isUsable) {
            state.isUsable = false;
            m_log.write(line_importance::state, "primary view expired without confirmation",
                        {{"database", view.database.str()},
                         {"primary", view.primary.str()},
                         {"term", std::to_string(view.term)},
                         {"attesting", std::to_string(m_fleet.attestingCount(m_ledger.digest()))},
                         {"live", std::to_string(m_fleet.liveCount())},
                         {"quorum", std::to_string(m_fleet.quorumSize())}},
                        now);
            m_handlers.onDispatch(m_dispatcher.setPrimary(view.database, std::nullopt, now));
            m_handlers.onDispatch(m_dispatcher.abortPrimaryWork(view.database, now));
        }
        if (view.phase != view_phase::steady) {
            const auto ends = view.phase == view_phase::ordered
                                      ? state.startedAt + m_promotionTime
                                      : now + m_promotionTime + expectedStatusQueryTime;
            m_dispatcher.setExpectedPrimaryTime(view.database, std::max(ends, now));
        }
        return;
    }
    if (!state.isUsable)
        m_log.write(line_importance::state, "primary view usable",
                    {{"database", view.database.str()},
                     {"primary", view.primary.str()},
                     {"term", std::to_string(view.term)}},
                    now);
    const bool isExtended = !state.isUsable || !state.usableUntil || *local != *state.usableUntil;
    state.isUsable = true;
    state.primary = view.primary;
    state.term = view.term;
    state.usableUntil = local;
    if (isExtended)
        m_handlers.onDispatch(m_dispatcher.setPrimary(
                view.database, usable_primary{view.primary, view.term, *local}, now));
}

/** Ends the work that only the former primary may do, then reports the former view as released. */
void view_keeper::releaseFormerView(const primary_view &view, release_state &state, time_point now)
{
    const auto finish = [&] {
        m_handlers.onDispatch(m_dispatcher.setPrimary(view.database, std::nullopt, now));
        state.isUsable = false;
        state.usableUntil.reset();
        state.released = state.seen;
        m_handlers.onUpdate(report_cause::released);
    };
    if (!state.isUsable)
        return finish();
    m_dispatcher.stopNewPrimaryWork(view.database, now);
    m_dispatcher.setExpectedPrimaryTime(view.database,
                                        now + m_promotionTime + expectedStatusQueryTime);
    if (!state.idleTransactionsEnded
        && (!view.planned || now - state.startedAt > switchoverReleaseTimeout / 2)) {
        state.idleTransactionsEnded = true;
        m_handlers.onDispatch(m_dispatcher.rollBackIdleTransactions(view.database, now));
    }
    if (now >= state.deadline)
        m_handlers.onDispatch(m_dispatcher.abortPrimaryWork(view.database, now));
    if (!m_dispatcher.hasPrimaryWork(view.database))
        finish();
}

void view_keeper::removeExpiredInstances(time_point now)
{
    if (!isSupervisor() || !storeReachable(now))
        return;
    // Removing one row at a time is fast enough to keep the table small.
    const auto expired = m_fleet.expiredRegistrations(now);
    if (expired.empty() || m_reads.isReading())
        return;
    removeRegistration(expired.front(), [] {});
}

instance_flags view_keeper::flags(time_point now) const
{
    // A new incarnation does not know what the former one has released until it has read the rows.
    const bool knowsRows = isRegistered() && m_rowsReadRevision >= m_registeredAtRevision;
    return {knowsRows && m_supervision.mayAttest() && !m_isClaiming, storeReachable(now),
            m_isStopping, true};
}

/** \returns a revision such that this instance has released all views before it. A view of a
 * database that is not known here is released too, because it can't be in use.
 */
row_revision view_keeper::releasedThrough() const
{
    row_revision newest;
    std::optional<row_revision> oldestUnreleased;
    for (const auto &[database, state] : m_releases) {
        newest = std::max(newest, state.seen);
        if (state.released < state.seen)
            oldestUnreleased = std::min(oldestUnreleased.value_or(state.seen), state.seen);
    }
    return oldestUnreleased ? oldestUnreleased->previous() : newest;
}

void view_keeper::addToReport(instance_report &report, time_point now) const
{
    const auto earliest = m_store.clock().earliest(now);
    report.sentAt = earliest;
    report.releasedThrough = releasedThrough();
    auto &news = report.news;
    news.instancesDigest = m_fleet.instancesDigest();
    news.instancesReadAt = m_fleet.instancesReadAt();
    news.views = m_ledger.views();
    news.viewsDigest = digestOf(news.views);
    news.viewsConfirmed = m_ledger.confirmed();
    news.supervisor = claim().holder;
    news.fencingToken = claim().fencingToken;
    for (const auto &view : news.views) {
        report.observations.push_back(
                {view.database, view.revision, suspectsPrimary(view.database, view.primary, now),
                 sawDemotion(view.database, now), heardRecently(view.primary, now)});
        const auto floor = m_dispatcher.newestFloor(view.database);
        if (floor && earliest)
            news.floors.push_back({view.database, floor->position,
                                   *earliest - (now - floor->coversCommitsUntil)});
    }
}

bool view_keeper::allViewsUsable(time_point) const
{
    return !m_releases.empty()
           && std::ranges::all_of(m_releases, &release_state::isUsable, mappedOf);
}

bool view_keeper::anyViewUsable(time_point) const
{
    return std::ranges::any_of(m_releases, &release_state::isUsable, mappedOf);
}

} // namespace sycamorespan::node
