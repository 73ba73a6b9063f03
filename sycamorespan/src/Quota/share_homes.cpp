#include "sycamorespan/src/Quota/share_homes.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace sycamorespan {

std::vector<holder_id> chooseShareOwners(const workspace_id &workspace,
                                         const std::vector<holder_location> &holders,
                                         std::size_t count)
{
    std::map<holder_id, data_centre_id> dataCentres;
    std::vector<holder_id> holderIds;
    std::ranges::for_each(holders, [&](const holder_location &each) {
        dataCentres.emplace(each.holder, each.dataCentre);
        holderIds.push_back(each.holder);
    });
    struct candidate
    {
        std::size_t rankInDataCentre =
                0; // the first holder of each data centre comes before any second one
        std::size_t rank = 0;
        holder_id holder;
    };
    std::vector<candidate> ranked;
    std::map<data_centre_id, std::size_t> countByDataCentre;
    std::ranges::for_each(rendezvousOrder(workspace.str(), holderIds), [&](const holder_id &each) {
        ranked.push_back({countByDataCentre[dataCentres.at(each)]++, ranked.size(), each});
    });
    std::ranges::sort(ranked, {}, [](const candidate &each) {
        return std::tuple(each.rankInDataCentre, each.rank);
    });
    ranked.resize(std::min(ranked.size(), count));
    std::vector<holder_id> owners;
    std::ranges::transform(ranked, std::back_inserter(owners), &candidate::holder);
    return owners;
}

} // namespace sycamorespan
