#ifndef SYCAMORESPAN_QUOTA_QUOTA_AMOUNTS_H
#define SYCAMORESPAN_QUOTA_QUOTA_AMOUNTS_H

#include "sycamorespan/src/Core/time_types.h"

#include <compare>
#include <cstdint>

namespace sycamorespan {

/** \brief An exact number of tokens.
 *
 * The unit is a nanotoken, so that a rate in millitokens per second times a time in microseconds is
 * an integer.
 */
struct token_amount
{
    static constexpr std::int64_t nanotokensPerToken = 1'000'000'000;

    std::int64_t nanotokens = 0;

    static constexpr token_amount tokens(std::int64_t count)
    {
        return {count * nanotokensPerToken};
    }

    constexpr double asTokens() const
    {
        return static_cast<double>(nanotokens) / static_cast<double>(nanotokensPerToken);
    }

    auto operator<=>(const token_amount &) const = default;

    constexpr token_amount &operator+=(token_amount other)
    {
        nanotokens += other.nanotokens;
        return *this;
    }
    constexpr token_amount &operator-=(token_amount other)
    {
        nanotokens -= other.nanotokens;
        return *this;
    }
    friend constexpr token_amount operator+(token_amount left, token_amount right)
    {
        return left += right;
    }
    friend constexpr token_amount operator-(token_amount left, token_amount right)
    {
        return left -= right;
    }
};

/** \brief A number of tokens per unit of time. */
struct token_rate
{
    static constexpr std::int64_t millitokensPerToken = 1'000;

    std::int64_t millitokensPerSecond = 0;

    static constexpr token_rate tokensPerSecond(std::int64_t count)
    {
        return {count * millitokensPerToken};
    }

    auto operator<=>(const token_rate &) const = default;

    /** \returns the tokens earned in \a elapsed: millitokens/s times microseconds are nanotokens.
     */
    friend constexpr token_amount operator*(token_rate rate, duration elapsed)
    {
        return {rate.millitokensPerSecond * elapsed.count()};
    }
};

/** \brief The limit of a workspace, or a holder's share of it.
 *
 * In any window of length t, requests that cost at most rate * t + burst are admitted.
 */
struct quota_limit
{
    token_rate rate;
    token_amount burst;

    auto operator<=>(const quota_limit &) const = default;

    /** \returns the part \a units / \a totalUnits of this limit, rounded down. */
    quota_limit share(std::int64_t units, std::int64_t totalUnits) const;
};

} // namespace sycamorespan

#endif
