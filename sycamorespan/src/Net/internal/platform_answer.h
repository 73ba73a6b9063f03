#ifndef SYCAMORESPAN_NET_INTERNAL_PLATFORM_ANSWER_H
#define SYCAMORESPAN_NET_INTERNAL_PLATFORM_ANSWER_H

#include "sycamorespan/Core"
#include "sycamorespan/src/Net/http_client.h"
#include "sycamorespan/src/Net/platform_outcome.h"

#include <exception>

namespace sycamorespan::internal {

constexpr int httpNotFound = 404;
constexpr int httpServiceUnavailable = 503;

/** \returns whether \a status means that the request was not carried out, because the request is
 * invalid or the service is unavailable.
 */
inline bool isRefusal(int status)
{
    return (status >= 400 && status < 500) || status == httpServiceUnavailable;
}

/** \brief Converts an http_outcome to a platform_outcome.
 * \param outcome  outcome of the HTTP request
 * \param decode   decodes the answer from a 2xx response; if it throws, the outcome is unknown
 */
template<typename Answer, typename Decode>
platform_outcome<Answer> toPlatformOutcome(const http_outcome &outcome, Decode decode)
{
    const auto decodeResponse = [&](const http_response &response) -> platform_outcome<Answer> {
        const auto statusText = "HTTP status " + std::to_string(response.status);
        if (isRefusal(response.status))
            return platform_refused{statusText};
        if (response.status < 200 || response.status >= 300)
            return platform_unknown{statusText};
        try {
            return decode(response);
        } catch (const std::exception &failure) {
            return platform_unknown{failure.what()};
        }
    };
    return std::visit(overloaded{
                              decodeResponse,
                              [](const http_not_sent &failure) -> platform_outcome<Answer> {
                                  return platform_refused{failure.reason};
                              },
                              [](const http_unanswered &failure) -> platform_outcome<Answer> {
                                  return platform_unknown{failure.reason};
                              },
                      },
                      outcome);
}

} // namespace sycamorespan::internal

#endif
