#ifndef SYCAMORESPAN_PROGRAMS_PROXY_ACCESS_CONTROL_H
#define SYCAMORESPAN_PROGRAMS_PROXY_ACCESS_CONTROL_H

#include <optional>
#include <string>
#include <variant>

#include "sycamorespan/Configuration"
#include "sycamorespan/Routing"
#include "sycamorespan/Session"

namespace sycamorespan::proxy {

/** \brief Permissions and read settings of an authenticated caller. */
struct caller_grant
{
    /** Empty for an anonymous caller of a database that is open to all. */
    std::optional<configuration::key_guard> guard;
    workspace_id workspace;
    database_id database;
    duration planStaleness{0};
    std::optional<log_position> position;
    std::optional<duration> maxStaleness;
};

/** \brief Checks callers against the configuration in force. */
class access_control
{
public:
    /** \brief Offers a version of the configuration.
     * \returns whether this version was accepted and is now in force.
     */
    bool offerConfiguration(configuration::configuration_version version, const std::string &body);

    /** \brief Sets the time until which the configuration is known to be the newest. */
    void setFreshUntil(time_point until) { m_freshUntil = until; }
    bool isFresh(time_point now) const { return now < m_freshUntil; }

    std::variant<caller_grant, error_report>
    authenticate(const caller_identity &identity, const std::string &key, time_point now) const;

    /** \returns the error when a statement of this caller is refused; it is not run then. */
    std::optional<error_report> statementRefusal(const caller_grant &grant, bool isInTransaction,
                                                 time_point now) const;

    /** \returns whether the session has to end because its key was withdrawn. */
    bool isKeyWithdrawn(const caller_grant &grant) const;

    /** \returns \a position encoded as a token that every proxy accepts from a caller. */
    std::string positionToken(const database_id &database, const log_position &position) const;

    configuration::configuration_version version() const { return m_configuration.version(); }
    const std::shared_ptr<const configuration::configuration_document> &document() const
    {
        return m_configuration.document();
    }

private:
    caller_grant grantFor(const caller_identity &identity, const workspace_id &workspace,
                          duration planStaleness) const;

    configuration::configuration_holder m_configuration;
    configuration::key_ring m_keys{nullptr};
    std::optional<session_position_codec> m_positionCodec;
    time_point m_freshUntil;
};

} // namespace sycamorespan::proxy

#endif
