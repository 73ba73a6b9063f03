#include "sycamorespan/src/Quota/allotment.h"

#include "sycamorespan/src/Core/error.h"

#include <algorithm>
#include <numeric>
#include <ranges>

#include <nlohmann/json.hpp>

namespace sycamorespan {

namespace {

/** \brief Positions of a share's fields in the row. */
enum share_field : std::size_t {
    holderField,
    bootField,
    unitsField,
    wantedField,
    silenceField,
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
           && share.silence >= duration::zero();
}

nlohmann::json encodeShare(const allotment_share &share)
{
    return nlohmann::json::array({share.run.holder.str(), share.run.boot, share.units, share.wanted,
                                  share.silence.count()});
}

allotment_share decodeShare(const nlohmann::json &json)
{
    return {{holder_id(json.at(holderField).get<std::string>()),
             json.at(bootField).get<std::uint64_t>()},
            json.at(unitsField).get<std::int64_t>(),
            json.at(wantedField).get<std::int64_t>(),
            duration(json.at(silenceField).get<std::int64_t>())};
}

} // namespace

allotment::allotment(std::int64_t total, std::vector<allotment_share> shares, std::string request)
    : m_total(total)
    , m_shares(std::move(shares))
    , m_request(std::move(request))
{
    if (m_total < 0 || m_total > maxTotal)
        throw error("allotment: the total is out of range");
    if (!std::ranges::all_of(m_shares, isValid))
        throw error("allotment: a share is negative");
    if (sumOfUnits(m_shares) > m_total)
        throw error("allotment: the shares exceed the total");
}

std::int64_t allotment::freeUnits() const
{
    return m_total - sumOfUnits(m_shares);
}

const allotment_share *allotment::find(const holder_id &holder) const
{
    const auto found = std::ranges::find(
            m_shares, holder, [](const allotment_share &share) { return share.run.holder; });
    return found == m_shares.end() ? nullptr : &*found;
}

std::int64_t allotment::fairUnits(const holder_id &holder) const
{
    auto byDemand = m_shares;
    std::ranges::sort(byDemand, {}, [](const allotment_share &share) {
        return std::pair(share.wanted, share.run.holder);
    });
    auto remaining = m_total;
    auto holders = static_cast<std::int64_t>(byDemand.size());
    for (const auto &share : byDemand) {
        const auto units = std::min(share.wanted, remaining / holders);
        if (share.run.holder == holder)
            return units;
        remaining -= units;
        --holders;
    }
    return 0;
}

allotment allotment::with(const allotment_share &share) const
{
    auto shares = without(share.run.holder).m_shares;
    shares.push_back(share);
    std::ranges::sort(shares, {}, &allotment_share::run);
    return {m_total, std::move(shares), m_request};
}

allotment allotment::without(const holder_id &holder) const
{
    auto shares = m_shares;
    std::erase_if(shares, [&](const allotment_share &share) { return share.run.holder == holder; });
    return {m_total, std::move(shares), m_request};
}

allotment allotment::withSilence(duration elapsed, const holder_id &holder) const
{
    auto shares = m_shares;
    for (auto &share : shares) {
        if (share.run.holder != holder)
            share.silence += elapsed;
    }
    return {m_total, std::move(shares), m_request};
}

allotment allotment::withoutExpired(duration validity) const
{
    auto shares = m_shares;
    std::erase_if(shares, [&](const allotment_share &share) { return share.silence >= validity; });
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
