// Tests of supervision: orders and views carry only the token of the sender's own claim, and
// nothing is ordered or written once a higher token is known.

#include "sycamorespan/src/Failover/supervision.h"

#include "sycamorespan/src/Core/overloaded.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::change_action;

const database_id database("db");
const server_id oldPrimary("s1");

std::vector<server_entry> threeServers()
{
    std::vector<server_entry> servers;
    for (const auto *id : {"s1", "s2", "s3"}) {
        server_entry entry;
        entry.id = server_id(id);
        entry.database = database;
        servers.push_back(entry);
    }
    return servers;
}

bool actsAsSupervisor(const change_output &output)
{
    return std::holds_alternative<write_view>(output)
           || std::holds_alternative<order_promotion>(output)
           || std::holds_alternative<send_statement>(output);
}

/** \brief One supervisor whose primary is unreachable, in a change that waits for the members. */
class waiting_change
{
public:
    waiting_change()
        : tested(self, 7, {}, {}, {}, now)
    {
        tested.onRowsRead(own, {steady}, now.time_since_epoch(), now);
        ledger.applySnapshot({steady}, now.time_since_epoch());
        const auto intent = advanceToWrite();
        tested.onViewWritten(intent.view, now.time_since_epoch(), context(), now);
        steady = intent.view;
        steady.revision = intentRevision;
        readRow(steady);
    }

    /** The supervisor reads the row after others have written theirs. */
    change_outputs readRow(const primary_view &row)
    {
        ledger.applyRead(row, now.time_since_epoch(), row.revision.number() + 3);
        return tested.tick(context(), now);
    }

    /** \returns what the supervisor does once both replicas report that they are paused. */
    change_outputs replicasAnswer()
    {
        change_outputs outputs;
        for (const auto *id : {"s2", "s3"}) {
            const replication_status paused{replication_role::replica, 1, {1, 9}, 2};
            auto more =
                    tested.onMemberAnswered(database, server_id(id), paused, now, context(), now);
            outputs.insert(outputs.end(), more.begin(), more.end());
        }
        return outputs;
    }

    /** \returns the view that the supervisor writes once both replicas are paused. */
    primary_view orderWritten()
    {
        primary_view order;
        for (const auto &output : replicasAnswer())
            if (const auto *write = std::get_if<write_view>(&output))
                order = write->view;
        return order;
    }

    supervision_context context() const
    {
        const auto clock = now.time_since_epoch();
        return {{},
                false,
                {},
                servers,
                ledger,
                [](const database_id &, row_revision) { return true; },
                [](const database_id &, row_revision) { return true; },
                [](const database_id &) {
                    return primary_reports{6, 0, 6, 0};
                },
                [](const database_id &) { return std::size_t{1}; },
                clock,
                clock,
                true,
                [](const database_id &) { return std::vector<log_holder>(); }};
    }

    write_view advanceToWrite()
    {
        while (true) {
            now += 20ms;
            for (const auto &output : tested.tick(context(), now)) {
                if (const auto *write = std::get_if<write_view>(&output))
                    return *write;
                if (const auto *sent = std::get_if<send_statement>(&output))
                    tested.onMemberAnswered(database, sent->server, std::nullopt, now, context(),
                                            now);
            }
        }
    }

    const instance_id self{"i1"};
    const supervisor_claim own{5, self, 7, 4};
    static constexpr std::uint64_t intentRevision = 20;
    primary_view steady{database, 9, oldPrimary, 1, view_phase::steady, false, 4, {}};
    time_point now{1h};
    std::vector<server_entry> servers = threeServers();
    view_ledger ledger{view_policy{}};
    supervision tested;
};

TEST(FailoverSupervision, AnOrderIsWrittenWithTheOwnTokenAndOnConditionOfTheClaim)
{
    waiting_change change;
    const auto outputs = change.replicasAnswer();
    const auto written = std::ranges::find_if(outputs, [](const change_output &each) {
        return std::holds_alternative<write_view>(each);
    });
    ASSERT_NE(written, outputs.end());
    EXPECT_EQ(std::get<write_view>(*written).view.phase, view_phase::ordered);
    EXPECT_EQ(std::get<write_view>(*written).view.fencingToken, change.own.fencingToken);
    EXPECT_EQ(std::get<write_view>(*written).claimRevision, change.own.revision);
}

/** Guards against a change of primary that conflicts with its own row for ever: the answer to a
 * write tells the newest revision of the store, which another writer may have raised since.
 */
TEST(FailoverSupervision, EachWriteExpectsTheRevisionOfTheRowThatWasRead)
{
    waiting_change change;
    auto order = change.orderWritten();
    EXPECT_EQ(order.revision, waiting_change::intentRevision);
    const auto outputs = change.tested.onViewWritten(order, change.now.time_since_epoch(),
                                                     change.context(), change.now);
    const auto holds = [](const change_outputs &of, const change_output &action) {
        return std::ranges::find(of, action) != of.end();
    };
    EXPECT_TRUE(holds(outputs, read_views{}));
    EXPECT_TRUE(holds(outputs, order_promotion{database, order.primary, 4}))
            << "the order does not wait for the read";
    const auto promoted = [&] {
        const replication_status leads{replication_role::primary, 2, {2, 9}, 0};
        return change.tested.onMemberAnswered(database, order.primary, leads, change.now,
                                              change.context(), change.now);
    };
    change.now += 500ms;
    EXPECT_TRUE(std::ranges::none_of(promoted(), actsAsSupervisor)) << "the revision is unknown";
    EXPECT_TRUE(holds(change.tested.tick(change.context(), change.now), read_views{}))
            << "a read without an answer is repeated";
    order.revision = 31;
    const auto published = change.readRow(order);
    ASSERT_EQ(published.size(), 1U);
    EXPECT_EQ(std::get<write_view>(published.front()).view.revision, order.revision);
    EXPECT_EQ(std::get<write_view>(published.front()).view.phase, view_phase::steady);
}

/** Guards against attestations of a view that this instance has replaced itself. */
TEST(FailoverSupervision, NoViewIsAttestedWhileTheRowThatReplacesItWasNotRead)
{
    waiting_change change;
    EXPECT_TRUE(change.tested.mayAttest());
    auto order = change.orderWritten();
    change.tested.onViewWritten(order, change.now.time_since_epoch(), change.context(), change.now);
    EXPECT_FALSE(change.tested.mayAttest());
    order.revision = 31;
    change.readRow(order);
    EXPECT_TRUE(change.tested.mayAttest());
}

/** A report brings a higher token, and members answer before the next tick. */
TEST(FailoverSupervision, AfterAReportOfAHigherTokenNothingIsOrdered)
{
    waiting_change change;
    change.tested.onClaimReported(instance_id("i2"), 5, change.now);
    EXPECT_FALSE(change.tested.isSupervisor());
    EXPECT_TRUE(std::ranges::none_of(change.replicasAnswer(), actsAsSupervisor));
    EXPECT_TRUE(std::ranges::none_of(change.tested.tick(change.context(), change.now),
                                     actsAsSupervisor));
}

TEST(FailoverSupervision, AfterAReadOfANewerClaimNothingIsOrdered)
{
    waiting_change change;
    change.tested.onRowsRead({30, instance_id("i2"), 1, 5}, {change.steady},
                             change.now.time_since_epoch(), change.now);
    EXPECT_FALSE(change.tested.isSupervisor());
    EXPECT_TRUE(std::ranges::none_of(change.replicasAnswer(), actsAsSupervisor));
}

/** The row of the order is being written when the report arrives. */
TEST(FailoverSupervision, AnOrderWhoseRowIsBeingWrittenIsNotSentAfterAHigherToken)
{
    waiting_change change;
    const auto order = change.orderWritten();
    ASSERT_EQ(order.phase, view_phase::ordered);
    change.tested.onClaimReported(instance_id("i2"), 5, change.now);
    const auto outputs = change.tested.onViewWritten(order, change.now.time_since_epoch(),
                                                     change.context(), change.now);
    EXPECT_TRUE(std::ranges::none_of(outputs, actsAsSupervisor));
}

/** The answer of the store was on its way for longer than an order may wait. */
TEST(FailoverSupervision, AnOrderWhoseClaimWasNotConfirmedInTimeIsNotSent)
{
    waiting_change change;
    const auto order = change.orderWritten();
    ASSERT_EQ(order.phase, view_phase::ordered);
    const auto committed = change.now.time_since_epoch();
    change.now += change_policy{}.orderSendTimeout + 20ms;
    const auto outputs =
            change.tested.onViewWritten(order, committed, change.context(), change.now);
    EXPECT_TRUE(std::ranges::none_of(outputs, [](const change_output &each) {
        return std::holds_alternative<order_promotion>(each);
    }));
}

/** The role was lost and claimed again while the answer to a write was on its way. */
TEST(FailoverSupervision, AnAnswerToAWriteOfAFormerClaimDoesNotAdvanceTheNewChange)
{
    waiting_change change;
    const auto former = change.orderWritten();
    const auto clock = change.now.time_since_epoch();
    change.tested.onClaimReported(instance_id("i2"), 5, change.now);
    change.tested.onRowsRead({50, change.self, 7, 6}, {change.steady}, clock, change.now);
    ASSERT_TRUE(change.tested.isSupervisor());
    const auto intent = change.advanceToWrite();
    ASSERT_EQ(intent.view.fencingToken, 6U);
    const auto outputs = change.tested.onViewWritten(former, clock, change.context(), change.now);
    EXPECT_TRUE(std::ranges::none_of(outputs, actsAsSupervisor));
    EXPECT_TRUE(std::ranges::none_of(change.replicasAnswer(), actsAsSupervisor));
}

/** \brief Several instances that claim, read and order over one store. */
class claim_simulation
{
public:
    /** \param storeReturns  whether the store may return from a copy that is some seconds old */
    claim_simulation(std::uint32_t seed, bool storeReturns)
        : m_random(seed)
        , m_storeReturns(storeReturns)
    {
        for (std::size_t number = 0; number < instanceCount; ++number) {
            m_instances.emplace_back();
            restart(number);
        }
    }

    void run(duration length)
    {
        for (const auto end = m_now + length; m_now < end;) {
            m_now += 20ms;
            if (chance(0.005))
                m_primaryIsUp = false;
            if (m_storeReturns)
                copyOrReturn();
            deliver();
            for (std::size_t number = 0; number < instanceCount; ++number)
                advance(number);
        }
    }

    /** \returns whether each token was used by one incarnation only, and tokens only rose. */
    bool ordersAreFenced() const
    {
        std::map<std::uint64_t, std::string> users;
        std::uint64_t highest = 0;
        return std::ranges::all_of(m_accepted, [&](const accepted_order &order) {
            const auto user = users.emplace(order.fencingToken, order.sender).first->second;
            const bool rises = order.fencingToken >= highest;
            highest = std::max(highest, order.fencingToken);
            return rises && user == order.sender;
        });
    }

    /** \returns the accepted orders, for the message of a failure. */
    std::string describe() const
    {
        std::string text;
        for (const auto &order : m_accepted)
            text += std::to_string(order.fencingToken) + " of " + order.sender + ' ';
        return text;
    }

    std::size_t orderCount() const { return m_accepted.size(); }
    std::size_t supervisorCount() const { return m_claimCount; }
    std::size_t returnCount() const { return m_era; }

private:
    static constexpr std::size_t instanceCount = 3;

    struct accepted_order
    {
        std::uint64_t fencingToken = 0;
        std::string sender;
    };

    struct instance
    {
        std::optional<supervision> supervisor;
        std::uint64_t incarnation = 0;
        std::optional<view_ledger> ledger;
        std::optional<primary_view> formerRow; ///< row of a former era, as last read
        store_era era = 0; ///< newest known era of the store
        time_point frozenUntil;
        time_point cutUntil; ///< neither the store nor reports reach it before
        time_point nextRead;
    };

    /** Content of the store. */
    struct store_content
    {
        std::uint64_t revision = 1;
        supervisor_claim claim;
        primary_view row{database, 1, oldPrimary, 1, view_phase::steady, false, 0, {}};
    };

    /** A message to an instance, or an effect at the store or the platform. */
    struct event
    {
        time_point due;
        std::optional<std::size_t> target; ///< instance that handles it; it may be frozen or cut
        std::uint64_t incarnation = 0;
        std::function<void()> handle;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    duration delay(duration most)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(0, most.count())(m_random));
    }

    /** Copies the content of the store now and then, and returns to the copy within some seconds.
     */
    void copyOrReturn()
    {
        if (!m_copy && chance(0.005)) {
            m_copy = m_store;
            m_returnsAt = m_now + delay(3s);
        } else if (m_copy && m_now >= m_returnsAt) {
            m_store = *std::exchange(m_copy, std::nullopt);
            ++m_era;
        }
    }

    /** An instance handles an answer of the store.
     * \returns whether the answer is of the newest era that the instance knows
     */
    bool noteEra(std::size_t number, store_era era)
    {
        auto &each = m_instances[number];
        if (era > each.era) {
            each.era = era;
            each.formerRow.reset();
            performAll(number, each.supervisor->onStoreEra(era));
        }
        return era == each.era;
    }

    void restart(std::size_t number)
    {
        auto &each = m_instances[number];
        each = {};
        each.incarnation = ++m_incarnations;
        each.supervisor.emplace(nameOf(number), each.incarnation, election_policy{},
                                supervision_policy{}, view_policy{}, m_now);
        each.ledger.emplace(view_policy{});
    }

    static instance_id nameOf(std::size_t number)
    {
        return instance_id("i" + std::to_string(number));
    }
    reference_time clock() const { return m_now.time_since_epoch(); }

    void schedule(duration after, std::optional<std::size_t> target, std::function<void()> handle)
    {
        m_events.push_back({m_now + after, target, target ? m_instances[*target].incarnation : 0,
                            std::move(handle)});
    }

    /** Handles due events in their order. Events of a frozen instance wait for its return. */
    void deliver()
    {
        std::ranges::stable_sort(m_events, {}, &event::due);
        std::deque<event> later;
        while (!m_events.empty()) {
            auto next = std::move(m_events.front());
            m_events.pop_front();
            const bool isFrozen = next.target && m_now < m_instances[*next.target].frozenUntil;
            if (next.due > m_now || isFrozen) {
                later.push_back(std::move(next));
                continue;
            }
            if (!next.target || m_instances[*next.target].incarnation == next.incarnation)
                next.handle();
        }
        m_events = std::move(later);
    }

    void advance(std::size_t number)
    {
        auto &each = m_instances[number];
        if (m_now < each.frozenUntil)
            return;
        if (chance(0.003))
            return restart(number);
        if (chance(0.006)) {
            each.frozenUntil = m_now + delay(3s);
            return;
        }
        if (chance(0.006))
            each.cutUntil = m_now + delay(4s);
        if (m_now >= each.nextRead || each.supervisor->needsRead())
            read(number);
        election_context election;
        election.storeReachable = true;
        election.candidates = {nameOf(number), instance_id("other")};
        election.timeSinceHolderHeard = chance(0.01) ? 10s : 0s;
        election.latest = clock() + 2ms;
        if (const auto claim = each.supervisor->propose(election, m_now))
            writeClaim(number, *claim);
        performAll(number, each.supervisor->tick(context(number), m_now));
        for (std::size_t other = 0; other < instanceCount; ++other)
            if (other != number && chance(0.1) && m_now >= each.cutUntil)
                report(number, other);
    }

    void report(std::size_t from, std::size_t to)
    {
        const auto claim = m_instances[from].supervisor->newestClaim();
        schedule(delay(300ms), to, [this, to, claim] {
            if (m_now >= m_instances[to].cutUntil)
                performAll(to, m_instances[to].supervisor->onClaimReported(
                                       claim.holder, claim.fencingToken, m_now));
        });
    }

    supervision_context context(std::size_t number) const
    {
        return {{},
                false,
                {},
                m_servers,
                *m_instances[number].ledger,
                [](const database_id &, row_revision) { return true; },
                [](const database_id &, row_revision) { return true; },
                [this](const database_id &) {
                    return m_primaryIsUp ? primary_reports{3, 3, 0, 0}
                                         : primary_reports{3, 0, 3, 0};
                },
                [](const database_id &) { return std::size_t{1}; },
                clock() - 2ms,
                clock() + 2ms,
                true,
                [](const database_id &) { return std::vector<log_holder>(); },
                true,
                [this, number](const database_id &) { return m_instances[number].formerRow; }};
    }

    void performAll(std::size_t number, const change_outputs &outputs)
    {
        for (const auto &output : outputs)
            std::visit([&](const auto &action) { perform(number, action); }, output);
    }

    void read(std::size_t number)
    {
        auto &each = m_instances[number];
        each.nextRead = m_now + 600ms;
        if (m_now < each.cutUntil)
            return;
        const auto readAt = delay(20ms);
        schedule(readAt, std::nullopt, [this, number, incarnation = each.incarnation] {
            if (m_instances[number].incarnation != incarnation)
                return;
            auto claim = m_store.claim;
            auto row = m_store.row;
            if (claim.fencingToken > 0)
                claim.revision = {m_era, claim.revision.number()};
            row.revision = {m_era, row.revision.number()};
            const auto at = clock();
            const store_revision readAt{m_era, m_store.revision};
            schedule(delay(500ms), number, [this, number, claim, row, at, readAt, era = m_era] {
                auto &reader = m_instances[number];
                if (!noteEra(number, era))
                    return;
                std::vector<primary_view> rows;
                if (row.isOfPresentEra())
                    rows.push_back(row);
                else
                    reader.formerRow = row;
                for (const auto &each : rows)
                    reader.ledger->applyRead(each, at, readAt);
                performAll(number, reader.supervisor->onRowsRead(claim, rows, at, m_now));
            });
        });
    }

    /** \returns the revision of a row that is written. Other writers raise the store's in between.
     */
    std::uint64_t nextRevision()
    {
        const auto written = ++m_store.revision;
        if (chance(0.5))
            ++m_store.revision;
        return written;
    }

    /** Performs a write at the store. Its effect may be late and its answer may be lost. */
    void write(std::size_t number, const std::function<bool()> &commit,
               const std::function<void(std::optional<bool>, reference_time)> &answer)
    {
        const bool isLost = chance(0.1) || m_now < m_instances[number].cutUntil;
        const auto commitAfter = isLost && chance(0.5) ? delay(3s) : delay(100ms);
        schedule(commitAfter, std::nullopt,
                 [this, number, commit, answer, isLost,
                  incarnation = m_instances[number].incarnation] {
                     const bool succeeded = commit();
                     if (isLost || m_instances[number].incarnation != incarnation)
                         return;
                     schedule(delay(400ms), number,
                              [this, number, answer, succeeded, at = clock(), era = m_era] {
                                  const bool isKnown = noteEra(number, era);
                                  answer(isKnown ? std::optional(succeeded) : std::nullopt, at);
                              });
                 });
        if (isLost)
            schedule(1s, number, [answer, this] { answer(std::nullopt, clock()); });
    }

    void writeClaim(std::size_t number, const supervisor_claim &claim)
    {
        write(
                number,
                [this, claim] {
                    // The store compares only the numbers.
                    if (m_store.claim.revision.number() != claim.revision.number())
                        return false;
                    m_store.claim = claim;
                    m_store.claim.revision = {m_era, nextRevision()};
                    ++m_claimCount;
                    return true;
                },
                [this, number](std::optional<bool> succeeded, reference_time at) {
                    auto &supervisor = *m_instances[number].supervisor;
                    if (!succeeded)
                        supervisor.onClaimWriteUnknown(m_now);
                    else if (*succeeded)
                        performAll(number, supervisor.onClaimWritten(at, m_now));
                    else
                        supervisor.onClaimConflict(m_now);
                });
    }

    void perform(std::size_t number, const write_view &action)
    {
        write(
                number,
                [this, action] {
                    if (m_store.row.revision.number() != action.view.revision.number()
                        || m_store.claim.revision.number() != action.claimRevision.number())
                        return false;
                    m_store.row = action.view;
                    m_store.row.revision = {m_era, nextRevision()};
                    return true;
                },
                [this, number, action](std::optional<bool> succeeded, reference_time at) {
                    auto &each = m_instances[number];
                    auto &supervisor = *each.supervisor;
                    if (!succeeded) {
                        performAll(number, supervisor.onViewWriteUnknown(action.view, m_now));
                    } else if (*succeeded) {
                        performAll(number, supervisor.onViewWritten(action.view, at,
                                                                    context(number), m_now));
                    } else {
                        performAll(number, supervisor.onViewConflict(action.view, m_now));
                    }
                });
    }

    void perform(std::size_t number, const read_rows &) { read(number); }
    void perform(std::size_t number, const read_views &) { read(number); }

    void perform(std::size_t number, const send_statement &action)
    {
        const auto fencing = std::visit(
                overloaded{
                        [](const member_statement::pause &each) { return each.term; },
                        [](const member_statement::step_down &each) { return each.term; },
                        [](const auto &) { return term_number{0}; },
                },
                action.statement);
        const bool isPrimary = action.server == m_primary;
        std::optional<replication_status> status;
        if (!isPrimary || m_primaryIsUp)
            status = replication_status{isPrimary ? replication_role::primary
                                                  : replication_role::replica,
                                        m_term,
                                        {m_term, 9},
                                        isPrimary ? 0 : fencing};
        schedule(delay(60ms), number, [this, number, server = action.server, status, at = m_now] {
            performAll(number, m_instances[number].supervisor->onMemberAnswered(
                                       database, server, status, at, context(number), m_now));
        });
    }

    void perform(std::size_t number, const order_promotion &action)
    {
        const auto sender =
                nameOf(number).str() + '/' + std::to_string(m_instances[number].incarnation);
        // The call ends after a second, and its connection is reset.
        schedule(chance(0.1) ? delay(900ms) : delay(30ms), std::nullopt, [this, action, sender] {
            m_accepted.push_back({action.fencingToken, sender});
            if (action.server == m_primary)
                return;
            m_primary = action.server;
            m_primaryIsUp = true;
            ++m_term;
        });
    }

    void perform(std::size_t, const publish_floor &) { }
    void perform(std::size_t, const record_holders &) { }
    void perform(std::size_t, const log_event &) { }

    std::mt19937 m_random;
    time_point m_now{1h};
    std::vector<instance> m_instances;
    std::deque<event> m_events;
    std::vector<server_entry> m_servers = threeServers();
    std::uint64_t m_incarnations = 0;
    bool m_storeReturns;
    store_content m_store;
    std::optional<store_content> m_copy;
    time_point m_returnsAt;
    store_era m_era = 0;
    std::size_t m_claimCount = 0;
    server_id m_primary = oldPrimary;
    bool m_primaryIsUp = true;
    term_number m_term = 1;
    std::vector<accepted_order> m_accepted;
};

/** \returns the number of schedules, which SUPERVISION_SCHEDULES can raise. */
std::uint32_t scheduleCount()
{
    const char *requested = std::getenv("SUPERVISION_SCHEDULES");
    return requested ? std::stoul(requested) : 5000;
}

/** Claims, reports, reads, lost answers, freezes, cuts and restarts of three instances. */
TEST(FailoverSupervision, NoTokenIsUsedTwiceAndTokensOnlyRise)
{
    const auto schedules = scheduleCount();
    std::size_t orders = 0;
    std::size_t supervisors = 0;
    for (std::uint32_t seed = 1; seed <= schedules; ++seed) {
        claim_simulation simulation(seed, false);
        simulation.run(10s);
        ASSERT_TRUE(simulation.ordersAreFenced())
                << "seed " << seed << ": " << simulation.describe();
        orders += simulation.orderCount();
        supervisors += simulation.supervisorCount();
    }
    EXPECT_GT(orders, schedules / 2) << "the schedules must cause orders";
    EXPECT_GT(supervisors, schedules * 2) << "and changes of the supervisor";
}

/** Guards against two instances that promote with one token after the store has lost the newest
 * claim. The same schedules, in which the store also returns from a copy that is some seconds old.
 */
TEST(FailoverSupervision, NoTokenIsUsedTwiceAfterTheStoreHasLostClaims)
{
    const auto schedules = scheduleCount();
    std::size_t orders = 0;
    std::size_t returns = 0;
    for (std::uint32_t seed = 1; seed <= schedules; ++seed) {
        claim_simulation simulation(seed, true);
        simulation.run(30s);
        ASSERT_TRUE(simulation.ordersAreFenced())
                << "seed " << seed << ": " << simulation.describe();
        orders += simulation.orderCount();
        returns += simulation.returnCount();
    }
    EXPECT_GT(orders, schedules / 2) << "the schedules must cause orders";
    EXPECT_GT(returns, schedules) << "and returns of the store";
}

} // namespace
