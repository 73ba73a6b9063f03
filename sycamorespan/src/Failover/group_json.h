#ifndef SYCAMORESPAN_FAILOVER_GROUP_JSON_H
#define SYCAMORESPAN_FAILOVER_GROUP_JSON_H

#include "sycamorespan/src/Failover/group_control.h"
#include "sycamorespan/src/Failover/group_view.h"

#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief Reads the column "followers" of group_status().
 * \throws decode_error
 */
std::vector<follower_position> parseFollowers(std::string_view text);

/** \brief Reads the column "role" of group_status().
 * \throws decode_error
 */
member_role parseMemberRole(std::string_view text);

/** \returns the value of the table's row group/DATABASE. */
std::string groupViewToJson(const group_view &view);

/** \brief Inverse of groupViewToJson().
 * \throws decode_error
 */
group_view groupViewFromJson(std::string_view text);

} // namespace sycamorespan

#endif
