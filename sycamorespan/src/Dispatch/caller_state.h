#ifndef SYCAMORESPAN_DISPATCH_CALLER_STATE_H
#define SYCAMORESPAN_DISPATCH_CALLER_STATE_H

#include "sycamorespan/src/Configuration/service_directory.h"
#include "sycamorespan/src/Dispatch/member_pool.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sycamorespan::internal {

struct prepared_statement
{
    statement_access access = statement_access::read;
    std::string shape;

    auto operator<=>(const prepared_statement &) const = default;
};

/** \brief A statement on its way to a member. */
struct statement_job
{
    enum class stage { awaitingAdmission, queued, running };

    caller_request request;
    stage at = stage::queued;
    bool startsTransaction = false; ///< a BEGIN has to precede it
    statement_access access = statement_access::read;
    bool commits = false;
    bool needsPrimary = false;
    time_point arrived;
    time_point deadline; ///< of the statement
    time_point objective; ///< of the whole operation
    time_point freshFrom; ///< what was acknowledged long enough before it must be seen
    time_point queuedSince;
    time_point sent; ///< to the member, in the attempt under way
    duration queued{}; ///< in all attempts
    int attempts = 0;
    std::set<server_id> excluded; ///< tried in vain
    std::optional<log_position> floor; ///< asked of the member in this attempt
    time_point notBefore; ///< of the next attempt
    connection_id opening = 0; ///< asked for on behalf of this statement; 0: none
};

/** \brief One caller's session. */
struct caller_state
{
    session_number number = 0;
    std::string databaseName; ///< that the caller connected to
    std::string key;
    workspace_id workspace;
    session_state state = session_state::idle;
    session_values values;
    std::map<std::string, prepared_statement> prepared;
    std::optional<statement_job> job;
    std::deque<caller_request> waiting;
    log_position ownCommit; ///< covers every acknowledged commit of the session
    time_point lastActive;

    // Of the open transaction.
    service_route route; ///< in force from its first statement to its end
    bool readOnly = false;
    bool wrote = false;
    bool admitted = false; ///< charged to the rate
    time_point begun;
    server_id boundServer;
    connection_id bound = 0; ///< 0: no connection yet
    bool rolledBack = false; ///< by us; the caller is told with its next statement

    bool leaving = false; ///< the caller's connection is gone
};

} // namespace sycamorespan::internal

#endif
