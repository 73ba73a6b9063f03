#ifndef SYCAMORESPAN_QUOTA_QUOTA_MESSAGES_H
#define SYCAMORESPAN_QUOTA_QUOTA_MESSAGES_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Quota/quota_amounts.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Identifies a process that holds shares of allotments, such as a proxy of an instance. */
using holder_id = identifier<struct holder_tag>;

/** \brief One incarnation of a holder. */
struct holder_incarnation
{
    holder_id holder;
    std::uint64_t number = 0; ///< greater than that of the previous incarnation

    auto operator<=>(const holder_incarnation &) const = default;
};

/** \brief Tells a lender that a loan ended.
 *
 * A loan is identified by the lender's incarnation and a number that the lender assigns.
 */
struct loan_settlement
{
    std::uint64_t loan = 0;
    token_amount unspent;

    auto operator<=>(const loan_settlement &) const = default;
};

/** \brief Requests tokens from another holder, and settles earlier loans from it. */
struct loan_request
{
    workspace_id workspace;
    holder_incarnation borrower;
    std::uint64_t sequence = 0; ///< increases with each request of this incarnation
    token_amount wanted; ///< 0 if the request only settles loans
    std::uint64_t lenderIncarnation = 0; ///< lender's incarnation that granted the settled loans
    std::vector<loan_settlement> settled;

    bool operator==(const loan_request &) const = default;
};

/** \brief Grants tokens to one borrower; they are usable for less than loanValidity after its
 * request was sent.
 */
struct loan_grant
{
    workspace_id workspace;
    holder_incarnation lender;
    holder_incarnation borrower;
    std::uint64_t sequence = 0; ///< sequence of the request
    std::uint64_t loan = 0;
    token_amount amount; ///< may be 0
    token_amount left; ///< estimate of what the lender can still lend

    bool operator==(const loan_grant &) const = default;
};

using quota_message = std::variant<loan_request, loan_grant>;

/** \returns \a message encoded as a CBOR array. */
std::vector<std::uint8_t> encodeQuotaMessage(const quota_message &message);

/** \throws decode_error if \a bytes is not a valid quota message. */
quota_message decodeQuotaMessage(const std::vector<std::uint8_t> &bytes);

} // namespace sycamorespan

#endif
