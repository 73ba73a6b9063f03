#include "sycamorespan/src/Routing/routing_view.h"

#include <algorithm>
#include <functional>

namespace sycamorespan {
namespace {

bool isOlder(const std::optional<member_report> &known, const member_report &report)
{
    return !known || known->queriedAt <= report.queriedAt;
}

std::size_t majority(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace

std::optional<time_point> routing_view::confirmedAt(term_number limit) const
{
    std::vector<time_point> times;
    for (const auto &member : members) {
        if (member.report && member.report->term <= limit)
            times.push_back(member.report->queriedAt);
    }
    if (times.size() < majority(members.size()))
        return std::nullopt;
    const auto oldest = times.begin() + static_cast<std::ptrdiff_t>(majority(members.size())) - 1;
    std::ranges::nth_element(times, oldest, std::greater{});
    return *oldest;
}

bool routing_view::isSuperseded(term_number limit) const
{
    const auto above = std::ranges::count_if(members, [limit](const member_state &member) {
        return member.report && member.report->term > limit;
    });
    return static_cast<std::size_t>(above) >= majority(members.size());
}

routing_view routing_view::withReport(const member_report &report) const
{
    routing_view view = *this;
    const auto member = std::ranges::find(view.members, report.server, &member_state::server);
    if (member == view.members.end())
        return view;
    if (report.role == reported_role::primary && report.term >= view.term) {
        view.term = report.term;
        view.primary = report.server;
    }
    if (isOlder(member->report, report))
        member->report = report;
    return view;
}

const member_state *routing_view::find(const server_id &server) const
{
    const auto found = std::ranges::find(members, server, &member_state::server);
    return found != members.end() ? &*found : nullptr;
}

std::optional<time_point> completeUntil(const routing_view &view, const member_report &report)
{
    const bool serves =
            report.role == reported_role::primary || report.role == reported_role::replica;
    if (!serves || !report.staleness)
        return std::nullopt;
    const auto confirmedAt = view.withReport(report).confirmedAt(report.term);
    if (!confirmedAt)
        return std::nullopt;
    return std::min(*confirmedAt, report.queriedAt - *report.staleness);
}

} // namespace sycamorespan
