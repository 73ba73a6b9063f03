#ifndef SYCAMORESPAN_TEST_MEMBERSHIP_SIMULATION_H
#define SYCAMORESPAN_TEST_MEMBERSHIP_SIMULATION_H

#include "sycamorespan/Core"
#include "sycamorespan/Membership"
#include "test/event_queue.h"

#include <memory>
#include <random>
#include <set>

namespace sycamorespan::test {

/** \brief Size of the WebSocket, TCP and IP headers of a message and of its acknowledgement. */
constexpr std::size_t headerBytes = 8 + 52 + 52;

/** \brief Simulates agents in several data centres, in virtual time. */
class simulated_members
{
public:
    struct instance
    {
        member self;
        bool alive = true;
        bool leaving = false;
        duration pausedUntil{};
        std::unique_ptr<membership> knowledge;
        std::uint64_t bytes = 0; ///< bytes sent and received
        std::uint64_t incarnation = 0;
        duration tickAt{};
    };

    simulated_members(std::size_t count, std::size_t centres, std::uint64_t seed)
        : m_random(seed)
        , m_isolated(centres, false)
    {
        for (std::size_t index = 0; index < count; ++index) {
            auto added = std::make_unique<instance>();
            added->self.id = member_id("instance-" + std::to_string(index));
            added->self.dataCentre = centreId(index % centres);
            added->self.address = "10.0." + std::to_string(index / 250) + "."
                                  + std::to_string(index % 250) + ":7101";
            m_instances.push_back(std::move(added));
        }
        for (std::size_t index = 0; index < count; ++index)
            start(index);
        // The simulation starts with agents that know each other's incarnations already.
        membership_message page;
        page.isPage = true;
        for (const auto &each : m_instances)
            page.updates.push_back(each->self);
        for (std::size_t index = 0; index < count; ++index)
            handle(index, membership_event::message_received{page});
    }

    event_queue events;
    double messageLoss = 0; ///< probability that a message is lost

    static data_centre_id centreId(std::size_t number)
    {
        return data_centre_id("centre-" + std::to_string(number));
    }
    instance &at(std::size_t index) { return *m_instances[index]; }
    std::size_t size() const { return m_instances.size(); }

    void start(std::size_t index)
    {
        auto &started = at(index);
        ++started.incarnation;
        started.alive = true;
        started.leaving = false;
        started.self.incarnation = ++m_lastBoot;
        started.pausedUntil = {};
        started.tickAt = {};
        started.knowledge = std::make_unique<membership>(
                started.self, membership_policy{}, [this] { return m_random(); }, localTime());
        handle(index, membership_event::list_read{platformList()});
        const auto offset = duration(static_cast<std::int64_t>(m_random() % 1'000'000));
        const auto incarnation = started.incarnation;
        events.after(offset, [this, index, incarnation] { tick(index, incarnation); });
    }
    void kill(std::size_t index)
    {
        at(index).alive = false;
        ++at(index).incarnation;
        at(index).knowledge.reset();
    }
    void pause(std::size_t index, duration length)
    {
        at(index).pausedUntil = events.now() + length;
    }
    void shutDown(std::size_t index)
    {
        at(index).leaving = true;
        handle(index, membership_event::shutdown_started{});
    }
    void isolate(std::size_t centre, bool isolated) { m_isolated[centre] = isolated; }

    void handle(std::size_t index, const membership_input &input)
    {
        auto &target = at(index);
        if (!target.alive)
            return;
        if (events.now() < target.pausedUntil) {
            const auto incarnation = target.incarnation;
            events.at(target.pausedUntil, [this, index, input, incarnation] {
                if (at(index).incarnation == incarnation)
                    handle(index, input);
            });
            return;
        }
        for (const auto &action : target.knowledge->handle(input, localTime())) {
            if (const auto *sent = std::get_if<membership_action::send_message>(&action))
                send(index, *sent);
        }
        scheduleTick(index);
    }

    /** \returns the number of instances in whose view the member takes new work. */
    std::size_t viewsOffering(const member_id &id)
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_instances, [&](const auto &each) {
            return each->alive && each->self.id != id && each->knowledge->view().takesNewWork(id);
        }));
    }
    bool reachable(const instance &from, const instance &to) const
    {
        const bool sameCentre = from.self.dataCentre == to.self.dataCentre;
        return sameCentre || (!isIsolated(from) && !isIsolated(to));
    }
    /** \returns whether the view of every live instance agrees with the model, which knows the
     * state of all instances and network partitions.
     */
    bool viewsAgreeWithModel()
    {
        return std::ranges::all_of(m_instances, [&](const auto &viewer) {
            return !viewer->alive || std::ranges::all_of(m_instances, [&](const auto &other) {
                const bool offered = viewer->knowledge->view().takesNewWork(other->self.id);
                const bool expected = other->alive && !other->leaving && reachable(*viewer, *other);
                return viewer == other || offered == expected;
            });
        });
    }
    void clearBytes()
    {
        for (auto &each : m_instances)
            each->bytes = 0;
    }

private:
    time_point localTime() const { return time_point(events.now()); }

    std::vector<member> platformList() const
    {
        std::vector<member> list;
        for (const auto &each : m_instances) {
            list.push_back(each->self);
            list.back().incarnation = 0;
        }
        return list;
    }
    bool isIsolated(const instance &candidate) const
    {
        for (std::size_t centre = 0; centre < m_isolated.size(); ++centre) {
            if (m_isolated[centre] && centreId(centre) == candidate.self.dataCentre)
                return true;
        }
        return false;
    }
    std::size_t indexOf(const member_id &id) const
    {
        return static_cast<std::size_t>(std::stoul(id.str().substr(id.str().rfind('-') + 1)));
    }
    void send(std::size_t from, const membership_action::send_message &sent)
    {
        const auto to = indexOf(sent.to);
        const auto encoded = encodeMembershipMessage(sent.message);
        at(from).bytes += encoded.size() + headerBytes;
        const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < messageLoss;
        if (lost || !reachable(at(from), at(to)))
            return;
        at(to).bytes += encoded.size() + headerBytes;
        const auto delay = duration(static_cast<std::int64_t>(500 + m_random() % 20'000));
        events.after(delay, [this, to, message = sent.message] {
            handle(to, membership_event::message_received{message});
        });
    }
    void scheduleTick(std::size_t index)
    {
        auto &target = at(index);
        const auto due =
                std::max(target.knowledge->nextDeadline().time_since_epoch(), events.now() + 1ms);
        if (target.tickAt > events.now() && target.tickAt <= due)
            return;
        target.tickAt = due;
        events.at(due,
                  [this, index, incarnation = target.incarnation] { tick(index, incarnation); });
    }
    void tick(std::size_t index, std::uint64_t incarnation)
    {
        if (at(index).incarnation == incarnation)
            handle(index, membership_event::tick{});
    }

    std::mt19937_64 m_random;
    std::vector<bool> m_isolated;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::uint64_t m_lastBoot = 0;
};

} // namespace sycamorespan::test

#endif
