#include "sycamorespan/src/Quota/allotment.h"

#include "sycamorespan/src/Core/error.h"

#include <algorithm>
#include <numeric>
#include <ranges>

#include <nlohmann/json.hpp>

namespace sycamorespan {

namespace {

/** \brief Positions of the fields of a share in its JSON array. */
enum share_field : std::size_t {
    holderField,
    incarnationNumberField,
    unitsField,
    wantedField,
    timeSinceRenewalField,
};

std::int64_t sumOfUnits(const std::vector<allotment_share> &shares)
{
    return std::accumulate(
            shares.begin(), shares.end(), std::int64_t{0},
            [](std::int64_t sum, const allotment_share &share) { return sum + share.units; });
}

bool isValid(const allotment_share &share)
{
    return share.units >= 0 && share.units <= allotment::maxTotal && share.wanted >= 0
           && share.timeSinceRenewal >= duration::zero();
}

nlohmann::json encodeShare(const allotment_share &share)
{
    return nlohmann::json::array({share.incarnation.holder.str(), share.incarnation.number,
                                  share.units, share.wanted, share.timeSinceRenewal.count()});
}

allotment_share decodeShare(const nlohmann::json &json)
{
    return {{holder_id(json.at(holderField).get<std::string>()),
             json.at(incarnationNumberField).get<std::uint64_t>()},
            json.at(unitsField).get<std::int64_t>(),
            json.at(wantedField).get<std::int64_t>(),
            duration(json.at(timeSinceRenewalField).get<std::int64_t>())};
}

} // namespace

allotment::allotment(std::int64_t total, std::vector<allotment_share> shares, std::string request)
    : m_total(total)
    , m_shares(std::move(shares))
    , m_request(std::move(request))
{
    if (m_total < 0 || m_total > maxTotal)
        throw error("allotment: the total is negative or exceeds the maximum");
    if (!std::ranges::all_of(m_shares, isValid))
        throw error(
                "allotment: the units, demand or time since renewal of a share are out of range");
    if (sumOfUnits(m_shares) > m_total)
        throw error("allotment: the units of the shares exceed the total");
}

std::int64_t allotment::freeUnits() const
{
    return m_total - sumOfUnits(m_shares);
}

const allotment_share *allotment::find(const holder_id &holder) const
{
    const auto found = std::ranges::find(m_shares, holder, [](const allotment_share &share) {
        return share.incarnation.holder;
    });
    return found == m_shares.end() ? nullptr : &*found;
}

std::int64_t allotment::fairUnits(const holder_id &holder) const
{
    auto byDemand = m_shares;
    std::ranges::sort(byDemand, {}, [](const allotment_share &share) {
        return std::pair(share.wanted, share.incarnation.holder);
    });
    auto remaining = m_total;
    auto holders = static_cast<std::int64_t>(byDemand.size());
    for (const auto &share : byDemand) {
        const auto units = std::min(share.wanted, remaining / holders);
        if (share.incarnation.holder == holder)
            return units;
        remaining -= units;
        --holders;
    }
    return 0;
}

allotment allotment::with(const allotment_share &share) const
{
    auto shares = without(share.incarnation.holder).m_shares;
    shares.push_back(share);
    std::ranges::sort(shares, {}, &allotment_share::incarnation);
    return {m_total, std::move(shares), m_request};
}

allotment allotment::without(const holder_id &holder) const
{
    auto shares = m_shares;
    std::erase_if(shares,
                  [&](const allotment_share &share) { return share.incarnation.holder == holder; });
    return {m_total, std::move(shares), m_request};
}

allotment allotment::withElapsedTime(duration elapsed, const holder_id &holder) const
{
    auto shares = m_shares;
    for (auto &share : shares) {
        if (share.incarnation.holder != holder)
            share.timeSinceRenewal += elapsed;
    }
    return {m_total, std::move(shares), m_request};
}

allotment allotment::withoutExpired(duration validity) const
{
    auto shares = m_shares;
    std::erase_if(shares,
                  [&](const allotment_share &share) { return share.timeSinceRenewal >= validity; });
    return {m_total, std::move(shares), m_request};
}

allotment allotment::withRequest(std::string request) const
{
    return {m_total, m_shares, std::move(request)};
}

std::string allotment::encode() const
{
    auto shares = nlohmann::json::array();
    std::ranges::transform(m_shares, std::back_inserter(shares), encodeShare);
    return nlohmann::json{{"total", m_total}, {"request", m_request}, {"shares", shares}}.dump();
}

allotment allotment::decode(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        std::vector<allotment_share> shares;
        std::ranges::transform(json.at("shares"), std::back_inserter(shares), decodeShare);
        return {json.at("total").get<std::int64_t>(), std::move(shares),
                json.at("request").get<std::string>()};
    } catch (const nlohmann::json::exception &failure) {
        throw decode_error(std::string("allotment: ") + failure.what());
    } catch (const decode_error &) {
        throw;
    } catch (const error &failure) {
        throw decode_error(failure.what());
    }
}

} // namespace sycamorespan
