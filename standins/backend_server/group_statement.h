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

/** \returns the group call in \a text, or nothing when the text is another statement.
 * \param parameters  values for $1, $2 ... among the arguments
 */
std::optional<group_call> parseGroupCall(const std::string &text,
                                         const std::vector<std::optional<std::string>> &parameters);

/** \brief Effect of a statement on the session's transaction; session: it changes settings only. */
enum class transaction_verb { none, begin, commit, rollback, savepoint, session };

/** \returns the effect of \a text, by its first word. */
transaction_verb transactionVerbOf(const std::string &text);

/** \returns the duration in seconds of a statement that calls pg_sleep(SECONDS), otherwise 0. */
double sleepSecondsOf(const std::string &text);

/** \returns \a ends as a JSON array of [term, offset] pairs. */
std::string encodeTermEnds(const std::vector<term_end> &ends);
/** \brief Reads the output of encodeTermEnds().
 * \throws sycamorespan::decode_error when \a text has another form
 */
std::vector<term_end> decodeTermEnds(const std::string &text);

} // namespace standin

#endif
