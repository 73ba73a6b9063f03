#ifndef SYCAMORESPAN_QUOTA_SHARE_HOMES_H
#define SYCAMORESPAN_QUOTA_SHARE_HOMES_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Quota/quota_messages.h"

#include <vector>

namespace sycamorespan {

/** \brief A holder and where it runs. */
struct placed_holder
{
    holder_id holder;
    data_centre_id dataCentre;

    auto operator<=>(const placed_holder &) const = default;
};

/** \returns the holders among which the rate of \a workspace is divided: \a count of \a holders, or
 *           all if there are fewer, in turn from each data centre. The others borrow from them.
 *
 * A rate divided among all holders of a large fleet leaves each with less than one operation; with
 * a few homes a loan is found by one question, and a cut-off data centre still has its part. All
 * instances that know the same holders choose the same homes.
 */
std::vector<holder_id> shareHomes(const workspace_id &workspace,
                                  const std::vector<placed_holder> &holders, std::size_t count);

} // namespace sycamorespan

#endif
