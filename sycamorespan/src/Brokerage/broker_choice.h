#ifndef SYCAMORESPAN_BROKERAGE_BROKER_CHOICE_H
#define SYCAMORESPAN_BROKERAGE_BROKER_CHOICE_H

#include "sycamorespan/src/Configuration/service_directory.h"
#include "sycamorespan/src/Membership/instance_incarnation.h"

#include <map>
#include <vector>

namespace sycamorespan {

/** \returns whether the statements of a database are handed over to brokers: its members accept
 * fewer connections than one for each workspace.
 */
bool needsBroker(const service_directory &directory, const database_id &database);

/** \brief Chooses a broker for each database that needs one.
 *
 * Instances with the same view of \a candidates choose the same brokers. An instance is chosen in
 * proportion to its processor share, and for at most its share of the databases, rounded up.
 * \param candidates  live instances among which brokers are chosen
 */
std::map<database_id, instance_incarnation>
chooseBrokers(const service_directory &directory,
              const std::vector<instance_incarnation> &candidates);

} // namespace sycamorespan

#endif
