#ifndef SYCAMORESPAN_FAILOVER_GROUP_JSON_H
#define SYCAMORESPAN_FAILOVER_GROUP_JSON_H

#include "sycamorespan/src/Failover/group_control.h"
#include "sycamorespan/src/Failover/group_view.h"

#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief Parses the column "followers" of group_status().
 * \throws decode_error
 */
std::vector<follower_position> parseFollowers(std::string_view text);

/** \brief Parses the column "role" of group_status().
 * \throws decode_error
 */
member_role parseMemberRole(std::string_view text);

/** \returns the value of the store's row group/DATABASE as JSON. */
std::string groupViewToJson(const group_view &view);

/** \brief Parses the JSON that groupViewToJson() returns.
 * \throws decode_error
 */
group_view groupViewFromJson(std::string_view text);

} // namespace sycamorespan

#endif
