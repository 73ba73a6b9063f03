#include "sycamorespan/src/Brokerage/broker_choice.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sycamorespan {

namespace {

/** \returns the rendezvous score of a candidate; the chance of the highest one is in proportion to
 * the processor share.
 */
double weightedScore(const database_id &database, const instance_incarnation &candidate)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    const auto draw = rendezvousWeight(database.str(), candidate.instance.str());
    const double uniform = (static_cast<double>(draw) + 1) / (range + 2);
    return std::max<double>(candidate.capacity, 1) / -std::log(uniform);
}

} // namespace

bool needsBroker(const service_directory &directory, const database_id &database)
{
    const auto known = directory.databases.find(database);
    return known != directory.databases.end() && known->second.maxConnections > 0
           && known->second.maxConnections < directory.workspaces.size();
}

std::map<database_id, instance_incarnation>
chooseBrokers(const service_directory &directory,
              const std::vector<instance_incarnation> &candidates)
{
    std::map<database_id, instance_incarnation> chosen;
    if (candidates.empty())
        return chosen;
    std::vector<database_id> databases;
    for (const auto &[id, limits] : directory.databases)
        if (needsBroker(directory, id))
            databases.push_back(id);
    const double capacity = std::accumulate(candidates.begin(), candidates.end(), 0.0,
                                            [](double sum, const instance_incarnation &each) {
                                                return sum + std::max<double>(each.capacity, 1);
                                            });
    std::map<instance_id, std::size_t> assigned;
    const auto mayTake = [&](const instance_incarnation &each) {
        const double share = std::max<double>(each.capacity, 1) / capacity;
        return static_cast<double>(assigned[each.instance])
               < std::ceil(share * static_cast<double>(databases.size()));
    };
    std::ranges::for_each(databases, [&](const database_id &database) {
        const instance_incarnation *best = nullptr;
        double bestScore = -1;
        std::ranges::for_each(candidates, [&](const instance_incarnation &each) {
            const double score = weightedScore(database, each);
            if (mayTake(each) && score > bestScore) {
                best = &each;
                bestScore = score;
            }
        });
        ++assigned[best->instance];
        chosen.emplace(database, *best);
    });
    return chosen;
}

} // namespace sycamorespan
