#include "sycamorespan/src/Failover/primary_view.h"

#include <algorithm>

#include <xxhash.h>

namespace sycamorespan {

namespace {

std::uint64_t seedOf(row_revision revision)
{
    const auto number = revision.number();
    return revision.era() == 0 ? number
                               : XXH3_64bits_withSeed(&number, sizeof number, revision.era());
}

} // namespace

std::uint64_t digestOf(const std::vector<primary_view> &views)
{
    std::uint64_t digest = 0;
    std::ranges::for_each(views, [&](const primary_view &view) {
        const auto &name = view.database.str();
        // The sum doesn't depend on the order.
        digest += XXH3_64bits_withSeed(name.data(), name.size(), seedOf(view.revision));
    });
    return digest;
}

} // namespace sycamorespan
