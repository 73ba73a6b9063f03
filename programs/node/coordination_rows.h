#ifndef SYCAMORESPAN_PROGRAMS_NODE_COORDINATION_ROWS_H
#define SYCAMORESPAN_PROGRAMS_NODE_COORDINATION_ROWS_H

#include "sycamorespan/src/Failover/primary_view.h"
#include "sycamorespan/src/Failover/supervisor_election.h"
#include "sycamorespan/src/Membership/instance_incarnation.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan::node {

/** \brief Keys and encodings of the rows that coordinate the instances. The rows are in a table of
 * the store that only this program uses.
 */
namespace coordination_rows {

inline const std::string table = "sycamorespan";
inline const std::string claimKey = "supervisor";

/** Keys of all views: from the first one up to the second, which is no key of a view. */
inline const std::string viewKeysBegin = "primary/";
inline const std::string viewKeysEnd = "primary0";

std::string viewKey(const database_id &database);
std::string holdersKey(const database_id &database);
std::string instanceKey(const instance_id &instance);
bool isViewKey(std::string_view key);
/** \returns the database of a holdersKey(); nothing for another key. */
std::optional<database_id> databaseOfHoldersKey(std::string_view key);
bool isInstanceKey(std::string_view key);

std::string encode(const primary_view &view);
std::string encode(const std::vector<log_holder> &holders);
std::string encode(const supervisor_claim &claim);
std::string encode(const instance_incarnation &incarnation);

/** \returns nothing when \a value has an unknown format, such as one of a later version. */
std::optional<primary_view> decodeView(std::string_view value, row_revision revision);
std::optional<std::vector<log_holder>> decodeHolders(std::string_view value);
std::optional<supervisor_claim> decodeClaim(std::string_view value, row_revision revision);
std::optional<instance_incarnation> decodeInstance(std::string_view value);

} // namespace coordination_rows

} // namespace sycamorespan::node

#endif
