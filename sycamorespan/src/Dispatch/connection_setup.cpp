#include "sycamorespan/src/Dispatch/connection_setup.h"

#include "sycamorespan/src/Core/overloaded.h"

#include <algorithm>
#include <numeric>
#include <string_view>

namespace sycamorespan {

namespace {

constexpr std::string_view names = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
static_assert(names.size() == connection_setup::maximumPrepared);

template<typename Entries>
std::size_t shapeBytes(const Entries &entries)
{
    return std::accumulate(entries.begin(), entries.end(), std::size_t{0},
                           [](std::size_t sum, const auto &each) {
                               return sum + each.first.statementShape.size();
                           });
}

std::size_t valueBytes(const session_values &values)
{
    return std::accumulate(values.begin(), values.end(), std::size_t{0},
                           [](std::size_t sum, const auto &each) {
                               return sum + each.first.size() + each.second.size();
                           });
}

bool holds(const session_values &values, const session_values::value_type &value)
{
    const auto held = values.find(value.first);
    return held != values.end() && held->second == value.second;
}

} // namespace

bool connection_setup::needsDiscard(const session_values &values) const
{
    return !m_isKnown || std::ranges::any_of(m_values, [&](const auto &held) {
        return !values.contains(held.first);
    });
}

/** \returns the entries to deallocate so that a statement with a shape of \a added bytes fits. */
std::vector<connection_setup::prepared_entries::const_iterator>
connection_setup::entriesToDrop(std::size_t added) const
{
    const auto limit = maximumKeptBytes - std::min(added, maximumKeptBytes);
    auto bytes = shapeBytes(m_prepared);
    auto count = m_prepared.size();
    if (count < maximumPrepared && bytes <= limit)
        return {};
    std::vector<prepared_entries::const_iterator> oldestFirst(count);
    std::iota(oldestFirst.begin(), oldestFirst.end(), m_prepared.begin());
    std::ranges::sort(oldestFirst, {}, [](const auto &each) { return each->second.lastUse; });
    const auto end = std::ranges::find_if(oldestFirst, [&](const auto &each) {
        if (count < maximumPrepared && bytes <= limit)
            return true;
        --count;
        bytes -= each->first.statementShape.size();
        return false;
    });
    oldestFirst.erase(end, oldestFirst.end());
    return oldestFirst;
}

char connection_setup::freeName() const
{
    const auto isFree = [&](char name) {
        return std::ranges::none_of(m_prepared,
                                    [&](const auto &each) { return each.second.name == name; });
    };
    return *std::ranges::find_if(names, isFree);
}

std::vector<setup_statement>
connection_setup::statementsFor(const session_values &values,
                                const prepared_statement *executed) const
{
    std::vector<setup_statement> statements;
    const bool discards = needsDiscard(values);
    if (discards)
        statements.emplace_back(member_statement::discard{});
    std::ranges::for_each(values, [&](const auto &value) {
        if (discards || !holds(m_values, value))
            statements.emplace_back(member_statement::set_value{value.first, value.second});
    });
    if (!executed || (!discards && m_prepared.contains(*executed)))
        return statements;
    char name = names.front();
    if (!discards) {
        const auto dropped = entriesToDrop(executed->statementShape.size());
        std::ranges::for_each(dropped, [&](const auto &each) {
            statements.emplace_back(
                    member_statement::deallocate{std::string(1, each->second.name)});
        });
        name = m_prepared.size() < maximumPrepared ? freeName() : dropped.front()->second.name;
    }
    statements.emplace_back(member_statement::prepare{std::string(1, name), executed->access,
                                                      executed->statementShape});
    return statements;
}

std::size_t connection_setup::costFor(const session_values &values,
                                      const prepared_statement *executed) const
{
    const bool discards = needsDiscard(values);
    const auto settings = std::ranges::count_if(
            values, [&](const auto &value) { return discards || !holds(m_values, value); });
    auto cost = static_cast<std::size_t>(settings) + (discards ? 1 : 0);
    if (executed && (discards || !m_prepared.contains(*executed)))
        cost += 1 + (discards ? 0 : entriesToDrop(executed->statementShape.size()).size());
    return cost;
}

std::string connection_setup::use(const prepared_statement &statement)
{
    auto &entry = m_prepared.at(statement);
    entry.lastUse = ++m_lastUse;
    return std::string(1, entry.name);
}

void connection_setup::release(char name)
{
    std::erase_if(m_prepared, [&](const auto &each) { return each.second.name == name; });
}

void connection_setup::acknowledge(const setup_statement &statement)
{
    std::visit(overloaded{[&](const member_statement::discard &) { *this = {}; },
                          [&](const member_statement::set_value &each) {
                              m_values[each.name] = each.value;
                          },
                          [&](const member_statement::deallocate &each) {
                              release(each.name.str().front());
                          },
                          [&](const member_statement::prepare &each) {
                              release(each.name.str().front());
                              m_prepared[{each.access, each.statementShape}] = {
                                      each.name.str().front(), ++m_lastUse};
                          }},
               statement);
}

void connection_setup::forget()
{
    *this = {};
    m_isKnown = false;
}

void connection_setup::limitSize()
{
    if (shapeBytes(m_prepared) + valueBytes(m_values) > maximumKeptBytes)
        forget();
}

} // namespace sycamorespan
