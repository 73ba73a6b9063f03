#include "programs/node/answer_intake.h"

#include <algorithm>

namespace sycamorespan::node {

namespace {

/** Part of the memory of the process for incomplete answers. */
constexpr std::size_t memoryPart = 16;

/** Memory for an answer in arrival: a row of the greatest length in a buffer that doubles. */
constexpr std::size_t largeAnswerBytes = std::size_t{2} << 20;

/** Number of large answers in arrival if the memory of the process is not known. */
constexpr std::size_t defaultTurns = 8;

/** Size up to which answers are received in any case. */
constexpr std::size_t smallAnswerBytes = std::size_t{64} << 10;

} // namespace

answer_intake::answer_intake(std::size_t memoryBytes)
    : m_turns(memoryBytes > 0
                      ? std::max<std::size_t>(memoryBytes / memoryPart / largeAnswerBytes, 1)
                      : defaultTurns,
              smallAnswerBytes)
{ }

void answer_intake::changed(std::uint64_t connection, byte_stream &stream, std::size_t bytes)
{
    m_turns.changed(connection, bytes);
    if (!m_turns.mayReceive(connection)) {
        stream.pauseReading(true);
        m_paused.emplace(connection, &stream);
    }
    resume();
}

void answer_intake::remove(std::uint64_t connection)
{
    m_turns.closed(connection);
    m_paused.erase(connection);
    resume();
}

void answer_intake::resume()
{
    std::erase_if(m_paused, [this](const auto &each) {
        const bool mayReceive = m_turns.mayReceive(each.first);
        if (mayReceive)
            each.second->pauseReading(false);
        return mayReceive;
    });
}

} // namespace sycamorespan::node
