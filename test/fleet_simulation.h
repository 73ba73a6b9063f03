#ifndef SYCAMORESPAN_TEST_FLEET_SIMULATION_H
#define SYCAMORESPAN_TEST_FLEET_SIMULATION_H

#include "sycamorespan/src/Membership/fleet_table.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamorespan::testing {

/** \brief Instances that exchange reports over simulated links, in virtual time. */
class fleet_simulation
{
public:
    struct instance
    {
        fleet_table table;
        std::uint64_t version = 0; ///< newest configuration version that it has heard of
        std::uint64_t releasedThrough = 0;
        std::uint64_t viewsDigest = 1;
        bool attests = true;
        bool suspects = false; ///< it gets no answer from a primary
        bool isUp = true;
        time_point frozenUntil;
        time_point nextReports;
        std::vector<std::string> waiting; ///< reports that arrived while it was frozen
        std::size_t bytesSent = 0;
        std::size_t messagesSent = 0;
    };

    fleet_simulation(std::size_t instanceCount, std::size_t dataCentreCount, std::uint32_t seed)
        : m_random(seed)
    {
        std::vector<instance_incarnation> all;
        for (std::size_t number = 0; number < instanceCount; ++number) {
            const auto dataCentre = number % dataCentreCount;
            // A tenth of the machines is larger.
            const auto capacity = number / dataCentreCount % 10 == 0 ? 500U : 120U;
            all.push_back({instance_id("i" + std::to_string(number)), 1000 + number,
                           std::to_string(number), data_centre_id(std::to_string(dataCentre)),
                           capacity});
        }
        for (const auto &each : all) {
            instances.push_back({fleet_table(each, fleet_policy{})});
            instances.back().table.setInstances(all, 1s, 1, now);
            instances.back().nextReports = now + delay(200ms);
        }
        m_all = all;
    }

    /** Advances time; the reports that are due are sent and delivered. */
    void advance(duration time)
    {
        const auto end = now + time;
        while (true) {
            auto next = end;
            if (!m_messages.empty())
                next = std::min(next, m_messages.top().arrives);
            for (const auto &each : instances)
                if (each.isUp)
                    next = std::min(next, std::max(each.nextReports, each.frozenUntil));
            now = std::max(now, next);
            deliver();
            for (std::size_t number = 0; number < instances.size(); ++number)
                sendReports(number);
            if (now >= end)
                return;
        }
    }

    template<typename Condition>
    duration timeUntil(Condition condition, duration limit)
    {
        const auto began = now;
        while (!condition() && now - began < limit)
            advance(10ms);
        return now - began;
    }

    template<typename Condition>
    bool all(Condition condition)
    {
        return std::ranges::all_of(instances,
                                   [&](instance &each) { return !each.isUp || condition(each); });
    }

    /** Sets a newer version at one instance, as if it had read it from the store. */
    void publish(std::size_t number, std::uint64_t version)
    {
        instances[number].version = version;
        urge(number);
    }

    void release(std::size_t number, std::uint64_t revision)
    {
        instances[number].releasedThrough = std::max(instances[number].releasedThrough, revision);
        urge(number, report_cause::released);
    }

    void suspect(std::size_t number, bool suspects)
    {
        if (std::exchange(instances[number].suspects, suspects) != suspects && suspects)
            urge(number);
    }

    void urge(std::size_t number, report_cause cause = report_cause::requested)
    {
        auto &each = instances[number];
        each.table.requestReports(cause);
        each.nextReports = std::max(now, each.table.nextReportsAt());
    }

    /** Starts a new incarnation, which the other instances know once they have read the rows. It
     * attests nothing before it has read them itself.
     */
    void restart(std::size_t number)
    {
        auto &run = m_all[number];
        run.incarnation += 10'000;
        auto &each = instances[number];
        each = {fleet_table(run, fleet_policy{})};
        each.attests = false;
        each.nextReports = now;
        ++m_revision;
    }

    /** The instance reads the rows, which hold the view of \a viewRevision. */
    void readRows(std::size_t number, std::uint64_t viewRevision)
    {
        auto &each = instances[number];
        if (!each.isUp || now < each.frozenUntil)
            return;
        each.table.setInstances(m_all, now.time_since_epoch(), m_revision, now);
        each.viewsDigest = std::max(each.viewsDigest, viewRevision);
        each.attests = true;
    }

    /** Writes a new revision of the view to the store. */
    std::uint64_t withdrawView() { return ++m_revision; }
    std::size_t dataCentreOf(std::size_t number) const
    {
        return std::stoul(m_all[number].dataCentre.str());
    }

    duration delay(duration most)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(0, most.count())(m_random));
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    time_point now{1h};
    std::vector<instance> instances;
    double loss = 0.01;
    std::set<std::size_t> isolated; ///< data centres that are cut off from the others
    std::set<std::pair<std::size_t, std::size_t>> cutLinks; ///< one way, between instances
    std::size_t bytesBetweenDataCentres = 0;

private:
    struct message
    {
        time_point arrives;
        std::size_t to;
        std::uint64_t incarnation;
        std::string bytes;

        bool operator>(const message &other) const { return arrives > other.arrives; }
    };

    instance_report reportOf(std::size_t number) const
    {
        const auto &each = instances[number];
        instance_report report;
        report.sender = m_all[number];
        report.sentAt = now.time_since_epoch();
        report.flags = {each.attests, true, false, true};
        report.releasedThrough = each.releasedThrough;
        if (each.suspects)
            report.observations.push_back({database_id("db"), 1, 1, 0, 0});
        report.news.configurationVersion = each.version;
        report.news.viewsDigest = each.viewsDigest;
        report.news.instancesDigest = each.table.instancesDigest();
        report.news.instancesReadAt = each.table.instancesReadAt();
        return report;
    }

    void sendReports(std::size_t number)
    {
        auto &each = instances[number];
        if (!each.isUp || now < each.nextReports || now < each.frozenUntil)
            return;
        each.table.refresh(now);
        for (const auto &outgoing : each.table.makeReports(reportOf(number), now)) {
            const bool isInstanceReport = std::holds_alternative<instance_report>(outgoing.report);
            const auto bytes = (isInstanceReport ? 'I' : 'R')
                               + std::visit([](const auto &report) { return encode(report); },
                                            outgoing.report);
            for (const auto &address : outgoing.addresses)
                send(number, std::stoul(address), bytes);
        }
        each.nextReports = each.table.nextReportsAt();
    }

    void send(std::size_t from, std::size_t to, const std::string &bytes)
    {
        auto &sender = instances[from];
        sender.bytesSent += bytes.size();
        ++sender.messagesSent;
        const auto home = dataCentreOf(from);
        const auto target = dataCentreOf(to);
        if (home != target)
            bytesBetweenDataCentres += bytes.size();
        const bool isCut =
                (home != target && (isolated.contains(home) || isolated.contains(target)))
                || cutLinks.contains({from, to});
        if (isCut || chance(loss))
            return;
        const auto transit = home == target ? 200us + delay(500us) : 1400us + delay(3ms);
        m_messages.push({now + transit, to, m_all[to].incarnation, bytes});
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.top().arrives <= now) {
            const auto next = m_messages.top();
            m_messages.pop();
            auto &to = instances[next.to];
            if (!to.isUp || m_all[next.to].incarnation != next.incarnation)
                continue;
            if (now < to.frozenUntil)
                to.waiting.push_back(next.bytes);
            else
                receive(next.to, next.bytes);
        }
        for (std::size_t number = 0; number < instances.size(); ++number) {
            auto &each = instances[number];
            if (now < each.frozenUntil || each.waiting.empty())
                continue;
            for (const auto &bytes : std::exchange(each.waiting, {}))
                receive(number, bytes);
        }
    }

    void receive(std::size_t number, const std::string &bytes)
    {
        auto &each = instances[number];
        const auto body = std::string_view(bytes).substr(1);
        if (bytes.front() == 'I') {
            const auto report = decodeInstanceReport(body);
            each.table.handle(report, now);
            applyNews(number, report.news);
        } else {
            const auto report = decodeRelayReport(body);
            each.table.handle(report, now);
            applyNews(number, report.news);
        }
        each.nextReports = std::min(each.nextReports, std::max(now, each.table.nextReportsAt()));
    }

    void applyNews(std::size_t number, const fleet_news &news)
    {
        if (news.configurationVersion > instances[number].version)
            publish(number, news.configurationVersion);
    }

    std::mt19937 m_random;
    std::vector<instance_incarnation> m_all;
    std::uint64_t m_revision = 1; ///< newest revision in the store
    std::priority_queue<message, std::vector<message>, std::greater<>> m_messages;
};

} // namespace sycamorespan::testing

#endif
