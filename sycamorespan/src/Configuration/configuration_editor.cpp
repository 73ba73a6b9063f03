#include "sycamorespan/src/Configuration/configuration_editor.h"

#include "sycamorespan/src/Core/error.h"

#include <algorithm>

namespace sycamorespan::configuration {

namespace {

constexpr duration minBackoff = 100ms;
constexpr unsigned maxBackoffExponent = 4;

bool hasSameContent(const configuration_document &left, const configuration_document &right)
{
    return left.lists == right.lists && left.keys == right.keys
           && left.positionSecret == right.positionSecret;
}

void appendEdit(configuration_document &document, const std::string &request)
{
    auto &edits = document.recentEdits;
    edits.push_back({document.version, request});
    if (edits.size() > maxRecentEdits)
        edits.erase(edits.begin());
}

} // namespace

configuration_editor::configuration_editor(edit_request request, time_point deadline)
    : m_request(std::move(request))
    , m_deadline(deadline)
{ }

edit_action configuration_editor::start(time_point /*now*/)
{
    return readRow();
}

edit_action configuration_editor::rowFetched(time_point now, store_result result,
                                             const std::optional<fetched_row> &row)
{
    if (result != store_result::done)
        return retry(now, "the configuration row can't be read from the table");
    m_revision = row ? row->revision : 0;
    if (row)
        return readBody(phase::readingCurrent, row->row.object);
    return continueFrom({});
}

edit_action configuration_editor::bodyFetched(time_point now,
                                              const std::optional<std::string> &body)
{
    if (!body)
        return retry(now, "a configuration body can't be read from the object store");
    try {
        auto document = parseDocument(*body);
        if (m_phase == phase::readingCurrent)
            return continueFrom(std::move(document));
        return edit_conflict{document.version, m_current->version,
                             diffDocuments(document, *m_current)};
    } catch (const decode_error &failure) {
        return retry(now, failure.what());
    }
}

edit_action configuration_editor::bodyStored(time_point now, store_result result)
{
    if (result != store_result::done)
        return retry(now, "the configuration body can't be written to the object store");
    return writeRow();
}

edit_action configuration_editor::rowCompared(time_point now, store_result result)
{
    switch (result) {
    case store_result::done:
        return edit_accepted{m_version, m_object};
    case store_result::refused:
        return readRow();
    case store_result::noAnswer:
        return retry(now, "the configuration row can't be written: the table doesn't answer");
    }
    return retry(now, "the store returned an unknown result");
}

edit_action configuration_editor::tick(time_point /*now*/)
{
    return readRow();
}

edit_action configuration_editor::readRow()
{
    m_phase = phase::readingRow;
    return fetch_row{};
}

edit_action configuration_editor::readBody(phase next, const std::string &object)
{
    m_phase = next;
    return fetch_body{object};
}

edit_action configuration_editor::retry(time_point now, const std::string &reason)
{
    if (now >= m_deadline && m_mayBeApplied)
        return edit_outcome_unknown{m_request.request};
    if (now >= m_deadline)
        return edit_not_run{reason};
    const auto exponent = std::min(m_retries++, maxBackoffExponent);
    m_phase = phase::waiting;
    return wait_before_retry{minBackoff * (1U << exponent)};
}

edit_action configuration_editor::continueFrom(configuration_document current)
{
    if (m_mayBeApplied)
        return resolveOutcome(current);
    if (m_request.expectedVersion && *m_request.expectedVersion != current.version)
        return reportConflict(std::move(current));
    return createVersion(current);
}

edit_action configuration_editor::resolveOutcome(const configuration_document &current)
{
    if (const auto version = versionOfEdit(current, m_request.request))
        return edit_accepted{*version, objectName(*version, m_request.request)};
    if (m_revision == m_writtenRevision)
        return writeRow();
    const bool isHistoryComplete =
            current.recentEdits.empty() || current.recentEdits.front().version <= m_version;
    if (!isHistoryComplete)
        return edit_outcome_unknown{m_request.request};
    // The row has a newer revision without this edit, so that a delayed write of the edit will
    // fail.
    m_mayBeApplied = false;
    return continueFrom(current);
}

edit_action configuration_editor::reportConflict(configuration_document current)
{
    const auto expected = *m_request.expectedVersion;
    if (expected == 0)
        return edit_conflict{expected, current.version, diffDocuments({}, current)};
    const auto found = std::ranges::find(current.recentEdits, expected, &accepted_edit::version);
    if (found == current.recentEdits.end())
        return edit_conflict{expected, current.version, {}};
    const auto object = objectName(expected, found->request);
    m_current = std::move(current);
    return readBody(phase::readingExpected, object);
}

edit_action configuration_editor::createVersion(const configuration_document &current)
{
    try {
        auto changed = m_request.change(current);
        if (current.version > 0 && hasSameContent(current, changed))
            return edit_refused{"the edit changes nothing"};
        changed.version = current.version + 1;
        changed.recentEdits = current.recentEdits;
        appendEdit(changed, m_request.request);
        m_version = changed.version;
        m_object = objectName(m_version, m_request.request);
        m_body = serializeDocument(changed);
        parseDocument(m_body);
    } catch (const error &failure) {
        return edit_refused{failure.what()};
    }
    m_phase = phase::storing;
    return store_body{m_object, m_body};
}

edit_action configuration_editor::writeRow()
{
    m_phase = phase::comparing;
    m_mayBeApplied = true;
    m_writtenRevision = m_revision;
    return compare_and_set_row{m_revision, serializeRow({m_version, m_object, m_request.request})};
}

} // namespace sycamorespan::configuration
