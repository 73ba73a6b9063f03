#ifndef SYCAMORESPAN_NET_PLATFORM_OUTCOME_H
#define SYCAMORESPAN_NET_PLATFORM_OUTCOME_H

#include <compare>
#include <string>
#include <variant>

namespace sycamorespan {

/** \brief Outcome of a request that the platform certainly did not carry out. */
struct platform_refused
{
    std::string reason;

    auto operator<=>(const platform_refused &) const = default;
};

/** \brief Outcome of a request that may have taken effect or may still take effect. */
struct platform_unknown
{
    std::string reason;

    auto operator<=>(const platform_unknown &) const = default;
};

/** \brief Outcome of a request to the platform: answered, refused or unknown. */
template<typename Answer>
using platform_outcome = std::variant<Answer, platform_refused, platform_unknown>;

} // namespace sycamorespan

#endif
