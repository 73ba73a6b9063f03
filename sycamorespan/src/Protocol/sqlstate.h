#ifndef SYCAMORESPAN_PROTOCOL_SQLSTATE_H
#define SYCAMORESPAN_PROTOCOL_SQLSTATE_H

#include <string_view>

/** \brief SQLSTATE codes that the system sends or handles. */
namespace sycamorespan::sqlstate {

inline constexpr std::string_view successfulCompletion = "00000";
inline constexpr std::string_view connectionFailure = "08006";
inline constexpr std::string_view transactionResolutionUnknown = "08007";
inline constexpr std::string_view protocolViolation = "08P01";
inline constexpr std::string_view featureNotSupported = "0A000";
inline constexpr std::string_view invalidParameterValue = "22023";
inline constexpr std::string_view activeSqlTransaction = "25001";
inline constexpr std::string_view readOnlySqlTransaction = "25006";
inline constexpr std::string_view inFailedSqlTransaction = "25P02";
inline constexpr std::string_view invalidStatementName = "26000";
inline constexpr std::string_view invalidAuthorization = "28000";
inline constexpr std::string_view invalidPassword = "28P01";
inline constexpr std::string_view invalidCursorName = "34000";
inline constexpr std::string_view invalidCatalogName = "3D000";
inline constexpr std::string_view insufficientPrivilege = "42501";
inline constexpr std::string_view syntaxError = "42601";
inline constexpr std::string_view tooManyConnections = "53300";
inline constexpr std::string_view configurationLimitExceeded = "53400";
inline constexpr std::string_view objectNotInPrerequisiteState = "55000";
inline constexpr std::string_view queryCanceled = "57014";
inline constexpr std::string_view adminShutdown = "57P01";
inline constexpr std::string_view cannotConnectNow = "57P03";

} // namespace sycamorespan::sqlstate

#endif
