#include "programs/node/answer_intake.h"

namespace sycamorespan::node {

namespace {

/** Part of the memory of the process for incomplete answers. */
constexpr std::size_t memoryPart = 16;

/** Budget if the memory of the process is not known. */
constexpr std::size_t defaultBudgetBytes = std::size_t{16} << 20;

/** Size up to which answers are received in any case. */
constexpr std::size_t smallAnswerBytes = std::size_t{64} << 10;

} // namespace

answer_intake::answer_intake(std::size_t memoryBytes)
    : m_budget(memoryBytes > 0 ? memoryBytes / memoryPart : defaultBudgetBytes, smallAnswerBytes)
{ }

void answer_intake::changed(std::uint64_t connection, byte_stream &stream, std::size_t bytes)
{
    m_budget.changed(connection, bytes);
    if (!m_budget.mayReceive(connection)) {
        stream.pauseReading(true);
        m_paused.emplace(connection, &stream);
    }
    resume();
}

void answer_intake::remove(std::uint64_t connection)
{
    m_budget.closed(connection);
    m_paused.erase(connection);
    resume();
}

void answer_intake::resume()
{
    std::erase_if(m_paused, [this](const auto &each) {
        const bool mayReceive = m_budget.mayReceive(each.first);
        if (mayReceive)
            each.second->pauseReading(false);
        return mayReceive;
    });
}

} // namespace sycamorespan::node
