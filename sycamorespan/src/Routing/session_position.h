#ifndef SYCAMORESPAN_ROUTING_SESSION_POSITION_H
#define SYCAMORESPAN_ROUTING_SESSION_POSITION_H

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/log_position.h"

namespace sycamorespan {

/** \brief Log position of a database up to which a session has written or read. */
struct session_position
{
    database_id database;
    log_position position;

    auto operator<=>(const session_position &) const = default;
};

/** \brief Reason why the text of a session position was rejected. */
enum class position_error {
    malformed, ///< not of the form database:term:offset:signature
    wrongDatabase, ///< the position belongs to a database other than the session's
    badSignature, ///< forged, altered, or signed with an unknown secret
};

/** \brief Signs and checks the text form of session positions.
 *
 * The text is `database:term:offset:signature`; numbers are decimal, the signature is the first
 * 16 bytes of HMAC-SHA256 over the preceding text, in lower case hexadecimal. The signature
 * authenticates the position, not the session: a position taken from another session is valid, and
 * harmless.
 */
class session_position_codec
{
public:
    /** \param secrets  the first one signs and all of them verify, so that secrets can be rotated
     * \throws error if there is no secret or an empty one
     */
    explicit session_position_codec(std::vector<std::string> secrets);

    /** \returns the signed text of \a position. */
    std::string encode(const session_position &position) const;

    /** \param text      untrusted text of any length
     * \param database  the session's database
     */
    std::variant<session_position, position_error> decode(std::string_view text,
                                                          const database_id &database) const;

private:
    bool isSigned(std::string_view payload, std::string_view signature) const;

    std::vector<std::string> m_secrets;
};

} // namespace sycamorespan

#endif
