#ifndef STANDIN_BACKEND_SERVER_GROUP_STATEMENT_H
#define STANDIN_BACKEND_SERVER_GROUP_STATEMENT_H

#include <optional>
#include <string>
#include <vector>

#include "log_store.h"

namespace standin {

/** \brief A call of a group function: `SELECT * FROM group_NAME(ARGUMENT, ...)`. */
struct group_call
{
    std::string function;
    std::vector<std::string> arguments;

    bool operator==(const group_call &) const = default;
};

/** \returns the call that \a text makes, none when it is other SQL.
 * \param parameters  values for $1, $2 ... among the arguments
 */
std::optional<group_call> parseGroupCall(const std::string &text,
                                         const std::vector<std::optional<std::string>> &parameters);

/** \brief How a statement changes the session's transaction. */
enum class transaction_verb { none, begin, commit, rollback, savepoint, session };

transaction_verb transactionVerbOf(const std::string &text);

/** \returns how long a statement that calls pg_sleep(SECONDS) takes, in seconds; else 0. */
double sleepSecondsOf(const std::string &text);

std::string encodeTermEnds(const std::vector<term_end> &ends);
/** \throws sycamorespan::decode_error */
std::vector<term_end> decodeTermEnds(const std::string &text);

} // namespace standin

#endif
