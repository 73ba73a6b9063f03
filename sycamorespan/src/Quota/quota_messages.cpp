#include "sycamorespan/src/Quota/quota_messages.h"

#include "sycamorespan/src/Core/cbor.h"
#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace sycamorespan {

namespace {

using nlohmann::json;

/** Levels of arrays in a message, with some to spare for later layouts. */
constexpr std::size_t maximumDepth = 8;

/** \brief First element of an encoded message. */
enum message_kind : std::uint8_t { requestKind, grantKind };

/** \brief Positions of the fields of an encoded loan_request. */
enum request_field : std::size_t {
    requestWorkspace = 1,
    requestBorrower,
    requestBorrowerIncarnation,
    requestSequence,
    requestWanted,
    requestLenderIncarnation,
    requestSettled,
    requestFieldCount,
};

/** \brief Positions of the fields of an encoded loan_grant. */
enum grant_field : std::size_t {
    grantWorkspace = 1,
    grantLender,
    grantLenderIncarnation,
    grantBorrower,
    grantBorrowerIncarnation,
    grantSequence,
    grantLoan,
    grantAmount,
    grantLeft,
    grantFieldCount,
};

json encodeSettlement(const loan_settlement &settlement)
{
    return json::array({settlement.loan, settlement.unspent.nanotokens});
}

token_amount decodeAmount(const json &encoded)
{
    const auto nanotokens = encoded.get<std::int64_t>();
    if (nanotokens < 0)
        throw decode_error("quota message: an amount is negative");
    return {nanotokens};
}

loan_settlement decodeSettlement(const json &encoded)
{
    return {encoded.at(0).get<std::uint64_t>(), decodeAmount(encoded.at(1))};
}

json encode(const loan_request &request)
{
    auto settled = json::array();
    std::ranges::transform(request.settled, std::back_inserter(settled), encodeSettlement);
    return json::array({requestKind, request.workspace.str(), request.borrower.holder.str(),
                        request.borrower.number, request.sequence, request.wanted.nanotokens,
                        request.lenderIncarnation, settled});
}

json encode(const loan_grant &grant)
{
    return json::array({grantKind, grant.workspace.str(), grant.lender.holder.str(),
                        grant.lender.number, grant.borrower.holder.str(), grant.borrower.number,
                        grant.sequence, grant.loan, grant.amount.nanotokens,
                        grant.left.nanotokens});
}

holder_incarnation decodeIncarnation(const json &holder, const json &number)
{
    return {holder_id(holder.get<std::string>()), number.get<std::uint64_t>()};
}

loan_request decodeRequest(const json &encoded)
{
    std::vector<loan_settlement> settled;
    std::ranges::transform(encoded.at(requestSettled), std::back_inserter(settled),
                           decodeSettlement);
    return {workspace_id(encoded.at(requestWorkspace).get<std::string>()),
            decodeIncarnation(encoded.at(requestBorrower), encoded.at(requestBorrowerIncarnation)),
            encoded.at(requestSequence).get<std::uint64_t>(),
            decodeAmount(encoded.at(requestWanted)),
            encoded.at(requestLenderIncarnation).get<std::uint64_t>(),
            std::move(settled)};
}

loan_grant decodeGrant(const json &encoded)
{
    return {workspace_id(encoded.at(grantWorkspace).get<std::string>()),
            decodeIncarnation(encoded.at(grantLender), encoded.at(grantLenderIncarnation)),
            decodeIncarnation(encoded.at(grantBorrower), encoded.at(grantBorrowerIncarnation)),
            encoded.at(grantSequence).get<std::uint64_t>(),
            encoded.at(grantLoan).get<std::uint64_t>(),
            decodeAmount(encoded.at(grantAmount)),
            decodeAmount(encoded.at(grantLeft))};
}

} // namespace

std::vector<std::uint8_t> encodeQuotaMessage(const quota_message &message)
{
    return json::to_cbor(
            std::visit([](const auto &alternative) { return encode(alternative); }, message));
}

quota_message decodeQuotaMessage(const std::vector<std::uint8_t> &bytes)
{
    try {
        const auto encoded = parseCbor(bytes, maximumDepth);
        const auto kind = encoded.at(0).get<std::uint8_t>();
        if (kind == requestKind && encoded.size() == requestFieldCount)
            return decodeRequest(encoded);
        if (kind == grantKind && encoded.size() == grantFieldCount)
            return decodeGrant(encoded);
        throw decode_error("quota message: unknown kind or wrong number of fields");
    } catch (const json::exception &failure) {
        throw decode_error(std::string("quota message: ") + failure.what());
    }
}

} // namespace sycamorespan
