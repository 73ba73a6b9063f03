#ifndef SYCAMORESPAN_QUOTA_QUOTA_MESSAGES_H
#define SYCAMORESPAN_QUOTA_QUOTA_MESSAGES_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Quota/quota_amounts.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief A process that holds shares of allotments, such as one proxy of an instance. */
using holder_id = identifier<struct holder_tag>;

/** \brief One run of a holder; differs from the run before on the same instance. */
struct holder_run
{
    holder_id holder;
    std::uint64_t boot = 0;

    auto operator<=>(const holder_run &) const = default;
};

/** \brief Tells a lender that a loan is over.
 *
 * A loan is known by the lender's run and its number there.
 */
struct loan_settlement
{
    std::uint64_t loan = 0;
    token_amount unspent;

    auto operator<=>(const loan_settlement &) const = default;
};

/** \brief Asks another holder for tokens, and settles earlier loans from it. */
struct loan_request
{
    workspace_id workspace;
    holder_run borrower;
    std::uint64_t sequence = 0; ///< rises with each request of this run
    token_amount wanted; ///< 0: only settles
    std::uint64_t lenderBoot = 0; ///< the lender's run that the settlements are for
    std::vector<loan_settlement> settled;

    bool operator==(const loan_request &) const = default;
};

/** \brief Tokens for one borrower, usable until voucherValidity after its request was sent. */
struct loan_grant
{
    workspace_id workspace;
    holder_run lender;
    holder_run borrower;
    std::uint64_t sequence = 0; ///< of the request
    std::uint64_t loan = 0;
    token_amount amount; ///< may be 0
    token_amount left; ///< the lender's level after the loan, a hint

    bool operator==(const loan_grant &) const = default;
};

using quota_message = std::variant<loan_request, loan_grant>;

/** \returns CBOR of \a message, with short keys. */
std::vector<std::uint8_t> encodeQuotaMessage(const quota_message &message);

/** \throws decode_error if \a bytes is no quota message. */
quota_message decodeQuotaMessage(const std::vector<std::uint8_t> &bytes);

} // namespace sycamorespan

#endif
