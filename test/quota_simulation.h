#ifndef SYCAMORESPAN_TEST_QUOTA_SIMULATION_H
#define SYCAMORESPAN_TEST_QUOTA_SIMULATION_H

#include "sycamorespan/Core"
#include "sycamorespan/Quota"
#include "test/event_queue.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace sycamorespan::test {

/** \brief A request that was admitted at a true time. */
struct admission
{
    duration when{};
    token_amount cost;
    bool ran = true;
};

/** \brief Checks all windows one by one; the reference for excessOf().
 * \returns the greatest excess of a window over rate * t + burst; 0 if no window exceeds it
 */
inline std::int64_t excessByDefinition(const std::vector<admission> &work, const quota_limit &limit)
{
    std::int64_t excess = 0;
    for (std::size_t first = 0; first < work.size(); ++first) {
        token_amount sum;
        for (std::size_t last = first; last < work.size(); ++last) {
            sum += work[last].cost;
            const auto allowed = limit.rate * (work[last].when - work[first].when) + limit.burst;
            excess = std::max(excess, (sum - allowed).nanotokens);
        }
    }
    return excess;
}

/** \brief Computes the result of excessByDefinition() in linear time.
 *
 * Keeps the greatest sum of a window that ends at the current request, less its allowance.
 */
inline std::int64_t excessOf(const std::vector<admission> &work, const quota_limit &limit)
{
    std::int64_t excess = 0;
    token_amount backlog;
    duration before{};
    for (const auto &done : work) {
        backlog = std::max(token_amount{}, backlog - limit.rate * (done.when - before)) + done.cost;
        before = done.when;
        excess = std::max(excess, (backlog - limit.burst).nanotokens);
    }
    return excess;
}

/** \brief The store with one row. */
struct simulated_store
{
    bool outage = false;
    double loseAnswer = 0;
    duration shortestDelay = 1ms;
    duration longestDelay = 20ms;
    std::uint64_t revision = 0;
    std::string value;
};

/** \brief Faults of the simulated network and instances. */
struct simulated_faults
{
    double loseMessage = 0;
    double duplicateMessage = 0;
    duration shortestDelay = 500us;
    duration longestDelay = 3ms;
    std::int64_t driftPartsPerMillion = 0;
    bool allClocksFast = false;
    double notRunFraction = 0; ///< fraction of the admitted requests that don't run
    duration longestUntilRun = 50ms;
};

/** \brief Holders of one workspace's rate in several data centres, and the store that they share.
 */
class simulated_fleet
{
public:
    /** \brief Outcome of one request. */
    struct outcome
    {
        duration arrived{};
        bool decided = false;
        bool admitted = false;
    };

    simulated_fleet(const quota_limit &limit, const quota_policy &policy,
                    const allotment_policy &leasePolicy, std::size_t dataCentres,
                    std::uint64_t seed)
        : m_limit(limit)
        , m_policy(policy)
        , m_leasePolicy(leasePolicy)
        , m_random(seed)
        , m_isIsolated(dataCentres, false)
        , m_isCutFromStore(dataCentres, false)
    { }

    event_queue events;
    simulated_store store;
    simulated_faults faults;

    static constexpr std::int64_t totalUnits = 5'040;

    std::size_t addHolder(const std::string &name, std::size_t dataCentre)
    {
        const auto index = m_nodes.size();
        m_nodes.push_back(std::make_unique<node>());
        auto &added = *m_nodes.back();
        added.name = holder_id(name);
        added.dataCentre = dataCentre;
        start(index);
        return index;
    }

    std::size_t holders() const { return m_nodes.size(); }
    bool alive(std::size_t index) const { return m_nodes[index]->alive; }

    void request(std::size_t index)
    {
        const auto id = m_outcomes.size();
        m_outcomes.push_back({events.now()});
        deliver(index, quota_input(quota_event::request_arrived{id}));
    }
    const std::vector<outcome> &outcomes() const { return m_outcomes; }

    void isolateDataCentre(std::size_t dataCentre, bool cut)
    {
        m_isIsolated[dataCentre] = cut;
        m_isCutFromStore[dataCentre] = cut;
    }
    void cutDataCentreFromStore(std::size_t dataCentre, bool cut)
    {
        m_isCutFromStore[dataCentre] = cut;
    }

    /** \brief Pauses the process of a holder; events that arrive are handled after the pause. */
    void pause(std::size_t index, duration length)
    {
        auto &paused = *m_nodes[index];
        paused.pausedUntil = std::max(paused.pausedUntil, events.now() + length);
    }
    /** \brief Pauses the process between the handling of its next event and the resulting actions.
     */
    void pauseBetweenCheckAndUse(std::size_t index, duration length)
    {
        m_nodes[index]->pauseAfterNext = length;
    }
    void kill(std::size_t index)
    {
        auto &killed = *m_nodes[index];
        killed.alive = false;
        endUse(killed);
        ++killed.generation;
        killed.lease.reset();
        killed.quota.reset();
    }
    /** \brief Starts a new incarnation of the holder. */
    void start(std::size_t index)
    {
        auto &started = *m_nodes[index];
        ++started.generation;
        started.alive = true;
        started.pausedUntil = {};
        started.clockBase = time_point(duration(static_cast<std::int64_t>(m_random() % 1'000'000)));
        started.clockSet = events.now();
        started.drift = drawDrift();
        const holder_incarnation self{started.name, ++m_lastIncarnation};
        const auto now = localTime(started);
        started.quota = std::make_unique<quota_holder>(m_workspace, self, m_policy, now);
        started.lease = std::make_unique<allotment_lease>(
                "quota/rate/w", totalUnits, self, m_leasePolicy, [this] { return m_random(); },
                now);
        scheduleTicks(index);
    }
    void drain(std::size_t index) { deliver(index, allotment_input(allotment_event::drain{})); }
    bool drained(std::size_t index) const { return m_nodes[index]->drained; }

    /** \brief Changes the drift of the holder's clock. */
    void changeDrift(std::size_t index)
    {
        auto &changed = *m_nodes[index];
        changed.clockBase = localTime(changed);
        changed.clockSet = events.now();
        changed.drift = drawDrift();
    }

    /** \returns the units that all holders together use or released less than the settle time ago;
     * loans may still be spent for that long.
     */
    std::int64_t unitsInUse() const
    {
        std::int64_t sum = 0;
        for (const auto &each : m_nodes) {
            std::int64_t units = 0;
            for (const auto &use : each->uses) {
                if (events.now() < use.until)
                    units = std::max(units, use.units);
            }
            sum += units;
        }
        return sum;
    }
    std::int64_t maxUnitsInUse() const { return m_maxUnitsInUse; }
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t messageBytes() const { return m_messageBytes; }

    /** \returns the admitted work that ran, by the time of its admission. */
    std::vector<admission> admittedWork() const
    {
        std::vector<admission> result;
        std::ranges::copy_if(m_admissions, std::back_inserter(result), &admission::ran);
        return result;
    }

private:
    /** \brief Units that a holder may use until a true time. */
    struct unit_use
    {
        std::int64_t units = 0;
        duration until{};
    };
    struct node
    {
        holder_id name;
        std::size_t dataCentre = 0;
        bool alive = false;
        bool drained = false;
        std::uint64_t generation = 0;
        duration pausedUntil{};
        duration pauseAfterNext{};
        time_point clockBase;
        duration clockSet{};
        std::int64_t drift = 0;
        std::unique_ptr<quota_holder> quota;
        std::unique_ptr<allotment_lease> lease;
        std::vector<unit_use> uses;
    };

    std::int64_t drawDrift()
    {
        const auto bound = faults.driftPartsPerMillion;
        if (faults.allClocksFast)
            return bound;
        return std::uniform_int_distribution<std::int64_t>(-bound, bound)(m_random);
    }
    bool drawBool(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    duration drawDuration(duration shortest, duration longest)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(shortest.count(),
                                                                    longest.count())(m_random));
    }

    time_point localTime(const node &of) const
    {
        const auto elapsed = events.now() - of.clockSet;
        return of.clockBase + elapsed + elapsed * of.drift / 1'000'000;
    }
    duration trueTimeUntil(const node &of, time_point local) const
    {
        const auto remaining = local - localTime(of);
        return remaining + remaining * 2'000 / 1'000'000 + 1us;
    }

    template<typename Input>
    void deliver(std::size_t index, Input input)
    {
        auto &target = *m_nodes[index];
        if (!target.alive)
            return;
        if (events.now() < target.pausedUntil) {
            events.at(target.pausedUntil, [this, index, input, generation = target.generation] {
                if (m_nodes[index]->generation == generation)
                    deliver(index, input);
            });
            return;
        }
        handle(index, input);
    }

    void handle(std::size_t index, const quota_input &input)
    {
        auto &target = *m_nodes[index];
        const auto actions = target.quota->handle(input, localTime(target));
        for (const auto &action : actions) {
            if (const auto *admitted = std::get_if<quota_action::admit>(&action))
                recordAdmission(index, admitted->id);
        }
        carryOutAll(index, actions);
        scheduleTicks(index);
    }
    void handle(std::size_t index, const allotment_input &input)
    {
        auto &target = *m_nodes[index];
        const auto actions = target.lease->handle(input, localTime(target));
        // The share is applied in the same step as the lease event, before any other event.
        for (const auto &action : actions) {
            if (const auto *share = std::get_if<allotment_action::share_changed>(&action))
                applyShare(index, *share);
        }
        carryOutAll(index, actions);
        scheduleTicks(index);
    }
    void applyShare(std::size_t index, const allotment_action::share_changed &share)
    {
        recordUse(*m_nodes[index], share);
        m_maxUnitsInUse = std::max(m_maxUnitsInUse, unitsInUse());
        handle(index, quota_input(quota_event::share_changed{
                              m_limit.share(share.units, share.totalUnits), share.validUntil}));
        handle(index, quota_input(quota_event::peers_changed{share.peers}));
    }

    /** \brief Ends the use of earlier shares after their settle time, and begins that of a new one.
     */
    void recordUse(node &of, const allotment_action::share_changed &share)
    {
        endUse(of);
        const auto valid = share.validUntil - localTime(of);
        of.uses.push_back({share.units, events.now() + valid - valid * 2'000 / 1'000'000});
    }
    void endUse(node &of)
    {
        std::erase_if(of.uses, [&](const unit_use &use) { return use.until <= events.now(); });
        const auto settled = events.now() + m_leasePolicy.settleTime * 998 / 1'000;
        for (auto &use : of.uses)
            use.until = std::min(use.until, settled);
    }

    template<typename Actions>
    void carryOutAll(std::size_t index, const Actions &actions)
    {
        auto &target = *m_nodes[index];
        const auto pause = std::exchange(target.pauseAfterNext, {});
        if (pause > duration::zero())
            target.pausedUntil = std::max(target.pausedUntil, events.now() + pause);
        for (const auto &action : actions) {
            const auto generation = target.generation;
            const auto call = [this, index, action, generation] {
                if (m_nodes[index]->generation == generation)
                    std::visit([&](const auto &alternative) { carryOut(index, alternative); },
                               action);
            };
            if (pause > duration::zero())
                events.after(pause, call);
            else
                call();
        }
    }

    void recordAdmission(std::size_t index, std::uint64_t id)
    {
        m_outcomes[id].admitted = true;
        m_outcomes[id].decided = true;
        const auto position = m_admissions.size();
        m_admissions.push_back({events.now(), token_amount::tokens(1)});
        const bool ran = !drawBool(faults.notRunFraction);
        m_admissions[position].ran = ran;
        events.after(drawDuration(0us, faults.longestUntilRun),
                     [this, index, id, ran, generation = m_nodes[index]->generation] {
                         if (m_nodes[index]->generation != generation)
                             return;
                         if (ran)
                             deliver(index, quota_input(quota_event::request_sent{id}));
                         else
                             deliver(index, quota_input(quota_event::request_not_run{id}));
                     });
    }

    void carryOut(std::size_t, const quota_action::admit &) { }
    void carryOut(std::size_t, const quota_action::refuse &refused)
    {
        m_outcomes[refused.id].decided = true;
    }
    void carryOut(std::size_t index, const quota_action::send_message &sent)
    {
        const auto bytes = encodeQuotaMessage(sent.message);
        ++m_messages;
        m_messageBytes += bytes.size();
        const auto copies = drawBool(faults.duplicateMessage) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (drawBool(faults.loseMessage))
                continue;
            events.after(drawDuration(faults.shortestDelay, faults.longestDelay),
                         [this, index, to = sent.to, bytes] { arrive(index, to, bytes); });
        }
    }
    void arrive(std::size_t from, const holder_id &to, const std::vector<std::uint8_t> &bytes)
    {
        const auto found =
                std::ranges::find_if(m_nodes, [&](const auto &each) { return each->name == to; });
        if (found == m_nodes.end())
            return;
        const auto sender = m_nodes[from]->dataCentre;
        const auto receiver = (*found)->dataCentre;
        if (sender != receiver && (m_isIsolated[sender] || m_isIsolated[receiver]))
            return;
        deliver(static_cast<std::size_t>(found - m_nodes.begin()),
                quota_input(quota_event::message_received{decodeQuotaMessage(bytes)}));
    }

    void carryOut(std::size_t index, const allotment_action::read_row &read)
    {
        atStore(index, [this, index, read] {
            const auto value = store.revision == 0 ? std::nullopt : std::optional(store.value);
            answer(index, allotment_event::row_read{read.request, store.revision, value});
        });
    }
    void carryOut(std::size_t index, const allotment_action::write_row &write)
    {
        atStore(index, [this, index, write] {
            const bool succeeded = store.revision == write.revision;
            if (succeeded) {
                ++store.revision;
                store.value = write.value;
            }
            answer(index,
                   allotment_event::write_answered{write.request, succeeded, store.revision});
        });
    }
    void carryOut(std::size_t, const allotment_action::share_changed &) { }
    void carryOut(std::size_t index, const allotment_action::drained &)
    {
        m_nodes[index]->drained = true;
    }

    bool isStoreReachable(std::size_t index) const
    {
        return !store.outage && !m_isCutFromStore[m_nodes[index]->dataCentre];
    }
    void atStore(std::size_t index, const std::function<void()> &execute)
    {
        events.after(drawDuration(store.shortestDelay, store.longestDelay), [this, index, execute] {
            if (isStoreReachable(index))
                execute();
        });
    }
    void answer(std::size_t index, const allotment_input &input)
    {
        if (drawBool(store.loseAnswer))
            return;
        events.after(drawDuration(store.shortestDelay, store.longestDelay),
                     [this, index, input, generation = m_nodes[index]->generation] {
                         const bool isSameIncarnation = m_nodes[index]->generation == generation;
                         if (isSameIncarnation && isStoreReachable(index))
                             deliver(index, input);
                     });
    }

    void scheduleTicks(std::size_t index)
    {
        auto &target = *m_nodes[index];
        const auto leaseDue = events.now() + trueTimeUntil(target, target.lease->nextDeadline());
        scheduleTick(index, leaseDue, allotment_input(allotment_event::tick{}));
        if (const auto due = target.quota->nextDeadline())
            scheduleTick(index, events.now() + trueTimeUntil(target, *due),
                         quota_input(quota_event::tick{}));
    }
    template<typename Input>
    void scheduleTick(std::size_t index, duration due, const Input &input)
    {
        auto &scheduled = m_ticks[{index, std::is_same_v<Input, quota_input>}];
        const auto generation = m_nodes[index]->generation;
        due = std::max(due, events.now() + 1us);
        const bool isAlreadyScheduled = scheduled.generation == generation
                                        && scheduled.due > events.now() && scheduled.due <= due;
        if (isAlreadyScheduled)
            return;
        scheduled = {due, generation};
        events.at(due, [this, index, input, generation] {
            if (m_nodes[index]->generation == generation)
                deliver(index, input);
        });
    }

    struct scheduled_tick
    {
        duration due{};
        std::uint64_t generation = 0;
    };

    quota_limit m_limit;
    quota_policy m_policy;
    allotment_policy m_leasePolicy;
    workspace_id m_workspace{"gronda"};
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<bool> m_isIsolated;
    std::vector<bool> m_isCutFromStore;
    std::vector<outcome> m_outcomes;
    std::vector<admission> m_admissions;
    std::map<std::pair<std::size_t, bool>, scheduled_tick> m_ticks;
    std::uint64_t m_lastIncarnation = 0;
    std::int64_t m_maxUnitsInUse = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_messageBytes = 0;
};

} // namespace sycamorespan::test

#endif
