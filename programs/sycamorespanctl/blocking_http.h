#ifndef SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_BLOCKING_HTTP_H
#define SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_BLOCKING_HTTP_H

#include "sycamorespan/Core"
#include "sycamorespan/src/Net/http_message.h"

#include <chrono>
#include <optional>
#include <string>

namespace sycamorespan::ctl {

/** \brief Sends one request and waits for its answer.
 * \param baseUrl  scheme, address and port
 * \param request  what to send
 * \param timeout  bound on the whole request
 * \returns the answer; nothing if there is no complete one, in which case the request may have run
 */
std::optional<http_response> sendRequest(const std::string &baseUrl, const http_request &request,
                                         std::chrono::milliseconds timeout);

} // namespace sycamorespan::ctl

#endif
