#include "sycamorespan/src/Quota/share_homes.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace sycamorespan {

std::vector<holder_id> shareHomes(const workspace_id &workspace,
                                  const std::vector<placed_holder> &holders, std::size_t count)
{
    std::map<holder_id, data_centre_id> dataCentres;
    std::vector<holder_id> candidates;
    std::ranges::for_each(holders, [&](const placed_holder &each) {
        dataCentres.emplace(each.holder, each.dataCentre);
        candidates.push_back(each.holder);
    });
    struct turn
    {
        std::size_t round = 0; // the first of each data centre come before the second ones
        std::size_t place = 0;
        holder_id holder;
    };
    std::vector<turn> turns;
    std::map<data_centre_id, std::size_t> taken;
    std::ranges::for_each(rendezvousOrder(workspace.str(), candidates), [&](const holder_id &each) {
        turns.push_back({taken[dataCentres.at(each)]++, turns.size(), each});
    });
    std::ranges::sort(turns, {},
                      [](const turn &each) { return std::tuple(each.round, each.place); });
    turns.resize(std::min(turns.size(), count));
    std::vector<holder_id> homes;
    std::ranges::transform(turns, std::back_inserter(homes), &turn::holder);
    return homes;
}

} // namespace sycamorespan
