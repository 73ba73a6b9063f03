#ifndef SYCAMORESPAN_NET_INTERNAL_PLATFORM_ANSWER_H
#define SYCAMORESPAN_NET_INTERNAL_PLATFORM_ANSWER_H

#include "sycamorespan/Core"
#include "sycamorespan/src/Net/http_client.h"
#include "sycamorespan/src/Net/platform_outcome.h"

#include <exception>

namespace sycamorespan::internal {

constexpr int httpNotFound = 404;
constexpr int httpServiceUnavailable = 503;

/** \returns whether \a status says that the request was not carried out: an error of the request,
 * or the service's own refusal.
 */
inline bool isRefusal(int status)
{
    return (status >= 400 && status < 500) || status == httpServiceUnavailable;
}

/** \brief Makes a platform_outcome of an http_outcome.
 * \param outcome  how the HTTP request ended
 * \param decode   makes the answer of a 2xx response; one that throws makes the outcome unknown
 */
template<typename Answer, typename Decode>
platform_outcome<Answer> toPlatformOutcome(const http_outcome &outcome, Decode decode)
{
    const auto decoded = [&](const http_response &response) -> platform_outcome<Answer> {
        const auto text = "status " + std::to_string(response.status);
        if (isRefusal(response.status))
            return platform_refused{text};
        if (response.status < 200 || response.status >= 300)
            return platform_unknown{text};
        try {
            return decode(response);
        } catch (const std::exception &failure) {
            return platform_unknown{failure.what()};
        }
    };
    return std::visit(overloaded{
                              decoded,
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
