#ifndef SYCAMORESPAN_QUOTA_SHARE_HOMES_H
#define SYCAMORESPAN_QUOTA_SHARE_HOMES_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Quota/quota_messages.h"

#include <vector>

namespace sycamorespan {

/** \brief A holder and the data centre in which it runs. */
struct holder_location
{
    holder_id holder;
    data_centre_id dataCentre;

    auto operator<=>(const holder_location &) const = default;
};

/** \returns the share owners of \a workspace, among which its rate is divided: \a count of
 *           \a holders, or all if there are fewer, taken from each data centre in turn. The other
 *           holders borrow from them.
 *
 * A rate divided among all holders of a large deployment leaves each with less than one operation.
 * With a few share owners, one request is enough to get a loan, and an isolated data centre keeps
 * its part of the rate. All instances that know the same holders choose the same share owners.
 */
std::vector<holder_id> chooseShareOwners(const workspace_id &workspace,
                                         const std::vector<holder_location> &holders,
                                         std::size_t count);

} // namespace sycamorespan

#endif
