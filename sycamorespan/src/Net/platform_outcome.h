#ifndef SYCAMORESPAN_NET_PLATFORM_OUTCOME_H
#define SYCAMORESPAN_NET_PLATFORM_OUTCOME_H

#include <compare>
#include <string>
#include <variant>

namespace sycamorespan {

/** \brief The platform certainly didn't do what was asked. */
struct platform_refused
{
    std::string reason;

    auto operator<=>(const platform_refused &) const = default;
};

/** \brief What was asked may have taken effect, or may yet do so. */
struct platform_unknown
{
    std::string reason;

    auto operator<=>(const platform_unknown &) const = default;
};

/** \brief How a request to the platform ended: answered, refused or unknown. */
template<typename Answer>
using platform_outcome = std::variant<Answer, platform_refused, platform_unknown>;

} // namespace sycamorespan

#endif
