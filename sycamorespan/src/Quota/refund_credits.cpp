#include "sycamorespan/src/Quota/refund_credits.h"

#include <algorithm>

namespace sycamorespan {

void refund_credits::add(std::uint64_t id, token_amount amount)
{
    ++m_lastSequence;
    m_creditsBySequence.emplace(m_lastSequence, credit{id, amount});
    m_sequenceOfRequest[id] = m_lastSequence;
    m_sum += amount;
}

token_amount refund_credits::take(std::uint64_t id)
{
    const auto sequence = m_sequenceOfRequest.find(id);
    if (sequence == m_sequenceOfRequest.end())
        return {};
    const auto found = m_creditsBySequence.find(sequence->second);
    const auto amount = found->second.amount;
    m_creditsBySequence.erase(found);
    m_sequenceOfRequest.erase(sequence);
    m_sum -= amount;
    return amount;
}

void refund_credits::limitTo(token_amount freeCapacity)
{
    while (m_sum > freeCapacity && !m_creditsBySequence.empty()) {
        auto &oldest = m_creditsBySequence.begin()->second;
        const auto excess = std::min(m_sum - freeCapacity, oldest.amount);
        oldest.amount -= excess;
        m_sum -= excess;
        if (oldest.amount == token_amount{}) {
            m_sequenceOfRequest.erase(oldest.id);
            m_creditsBySequence.erase(m_creditsBySequence.begin());
        }
    }
}

} // namespace sycamorespan
