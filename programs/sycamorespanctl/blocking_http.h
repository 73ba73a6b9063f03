#ifndef SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_BLOCKING_HTTP_H
#define SYCAMORESPAN_PROGRAMS_SYCAMORESPANCTL_BLOCKING_HTTP_H

#include "sycamorespan/Core"
#include "sycamorespan/src/Net/http_message.h"

#include <chrono>
#include <optional>
#include <string>

namespace sycamorespan::ctl {

/** \brief Sends one HTTP request and waits for its answer.
 * \param baseUrl  scheme, address and port of the server
 * \param request  request to send
 * \param timeout  timeout of the whole request
 * \returns the answer; nothing if no complete answer arrived, in which case the server may have
 *          executed the request
 */
std::optional<http_response> sendRequest(const std::string &baseUrl, const http_request &request,
                                         std::chrono::milliseconds timeout);

} // namespace sycamorespan::ctl

#endif
