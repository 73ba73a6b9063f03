#ifndef SYCAMORESPAN_CORE_RENDEZVOUS_HASH_H
#define SYCAMORESPAN_CORE_RENDEZVOUS_HASH_H

#include <algorithm>
#include <cstdint>
#include <ranges>
#include <string_view>
#include <vector>

#include <xxhash.h>

namespace sycamorespan {

/** \returns the weight of \a candidate for \a key, which is the same in every process. */
inline std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate) noexcept
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

/** \brief Orders candidates by descending weight for a key (rendezvous hashing).
 *
 * Removing a candidate leaves the order of the others unchanged.
 * \tparam Id  an instantiation of identifier
 */
template<typename Id>
std::vector<Id> rendezvousOrder(std::string_view key, std::vector<Id> candidates)
{
    std::ranges::sort(candidates, [key](const Id &left, const Id &right) {
        const auto leftWeight = rendezvousWeight(key, left.str());
        const auto rightWeight = rendezvousWeight(key, right.str());
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    return candidates;
}

} // namespace sycamorespan

#endif
