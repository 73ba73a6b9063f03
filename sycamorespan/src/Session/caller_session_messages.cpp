#include "sycamorespan/src/Session/caller_session.h"

#include <algorithm>
#include <utility>

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Protocol/sqlstate.h"
#include "sycamorespan/src/Session/internal/session_errors.h"
#include "sycamorespan/src/Session/session_options.h"

// Decodes the caller's messages into the queue of operations, which caller_session.cpp carries out.

namespace sycamorespan {
namespace {

using internal::errorOf;

bool isTransactionControl(const classified_statement &statement)
{
    return statement.kind == statement_kind::begin || statement.kind == statement_kind::commit
           || statement.kind == statement_kind::rollback;
}

std::string statementText(const std::string &text, const classified_statement &statement)
{
    return text.substr(statement.offset, statement.length);
}

} // namespace

void caller_session::decodeFrames()
{
    while (m_phase == phase::startup || m_phase == phase::password || m_phase == phase::ready) {
        const auto next = m_decoder.next();
        if (!next)
            return;
        if (m_phase == phase::startup)
            handleStartup(*next);
        else
            handleMessage(decodeFrontend(*next));
    }
}

void caller_session::handleStartup(const frame &opening)
{
    const auto request = decodeStartup(opening);
    if (std::holds_alternative<ssl_request>(request)) {
        if (m_decoder.bufferedBytes() > 0)
            throw decode_error("data after the request for TLS");
        m_actions.emplace_back(negotiate_tls{});
        return;
    }
    if (std::holds_alternative<gss_request>(request)) {
        m_actions.emplace_back(send_bytes{"N"});
        return;
    }
    if (const auto *cancel = std::get_if<cancel_request>(&request)) {
        m_actions.emplace_back(cancel_statement{cancel->processId, cancel->secret});
        m_actions.emplace_back(close_session{});
        m_phase = phase::closed;
        return;
    }
    const auto &parameters = std::get<startup_message>(request).parameters;
    const auto valueOf = [&parameters](const std::string &name) {
        const auto found = parameters.find(name);
        return found == parameters.end() ? std::string() : found->second;
    };
    m_decoder.startupFinished();
    m_identity = {valueOf("user"), valueOf("database"), valueOf("application_name"),
                  parseSessionOptions(valueOf("options"))};
    if (m_identity.user.empty())
        throw decode_error("no user name");
    if (m_identity.database.empty())
        m_identity.database = m_identity.user;
    if (parameters.contains("replication")) {
        return closeWith({"FATAL",
                          std::string(sqlstate::featureNotSupported),
                          "replication connections are not supported",
                          {},
                          {}});
    }
    if (m_identity.user == anonymousUser) {
        m_phase = phase::authenticating;
        m_actions.emplace_back(authenticate_caller{m_identity, {}});
        return;
    }
    m_phase = phase::password;
    m_writer.authenticationCleartextPassword();
}

void caller_session::handleMessage(const frontend_message &message)
{
    if (m_phase == phase::password) {
        const auto *password = std::get_if<password_message>(&message);
        if (password == nullptr)
            throw decode_error("a password was expected");
        m_phase = phase::authenticating;
        m_actions.emplace_back(authenticate_caller{m_identity, password->password});
        return;
    }
    if (m_operations.size() > m_limits.queuedOperations
        || m_batch.size() > m_limits.queuedOperations)
        throw decode_error("too many messages without an answer");
    std::visit(overloaded{
                       [this](const query_message &value) { handleQuery(value); },
                       [this](const parse_message &value) { handleParse(value); },
                       [this](const bind_message &value) { handleBind(value); },
                       [this](const describe_message &value) { handleDescribe(value); },
                       [this](const execute_message &value) { handleExecute(value); },
                       [this](const close_message &value) { handleClose(value); },
                       [this](const sync_message &) { handleSync(); },
                       [this](const flush_message &) { handleFlush(); },
                       [this](const terminate_message &) {
                           m_actions.emplace_back(abort_work{});
                           m_actions.emplace_back(close_session{});
                           m_phase = phase::closed;
                       },
                       [](const password_message &) {
                           throw decode_error("a password was not expected");
                       },
                       [](const unsupported_message &) {
                           throw decode_error("COPY data and function calls are not supported");
                       },
               },
               message);
}

void caller_session::handleQuery(const query_message &message)
{
    const auto classification = m_classifier.classify(message.text);
    const auto &statements = classification->statements;
    if (classification->isEmpty()) {
        backend_writer empty;
        empty.emptyQueryResponse();
        m_operations.emplace_back(reply_operation{empty.release()});
    } else if (statements.empty()) {
        m_operations.emplace_back(run_operation{{message.text}, result_form::full, std::nullopt});
    } else if (statements.size() == 1) {
        m_operations.emplace_back(
                run_operation{{message.text}, result_form::full, statements.front()});
    } else if (std::ranges::any_of(statements, isTransactionControl)) {
        m_operations.emplace_back(fail_operation{
                errorOf(sqlstate::featureNotSupported,
                        "BEGIN, COMMIT and ROLLBACK are not supported among several statements "
                        "of one query")});
    } else {
        m_operations.emplace_back(begin_implicit_transaction_operation{});
        std::ranges::transform(statements, std::back_inserter(m_operations),
                               [&message](const classified_statement &statement) -> operation {
                                   return run_operation{{statementText(message.text, statement)},
                                                        result_form::full,
                                                        statement};
                               });
        m_operations.emplace_back(end_implicit_transaction_operation{});
    }
    m_operations.emplace_back(ready_for_query_operation{});
}

void caller_session::handleParse(const parse_message &message)
{
    addToBatch(prepare_operation{message});
}

void caller_session::handleBind(const bind_message &message)
{
    addToBatch(bind_operation{message});
}

void caller_session::handleDescribe(const describe_message &message)
{
    if (message.kind == target_kind::statement)
        return addToBatch(describe_operation{message.name});
    addDescribedPortal();
    m_describedPortal = message.name;
}

void caller_session::handleExecute(const execute_message &message)
{
    const bool described = m_describedPortal == message.portal;
    if (described)
        m_describedPortal.reset();
    ++m_batchStatements;
    addToBatch(execute_operation{message, described});
}

void caller_session::handleClose(const close_message &message)
{
    addToBatch(close_operation{message});
}

void caller_session::handleSync()
{
    releaseBatch(true);
    m_operations.emplace_back(ready_for_query_operation{});
}

void caller_session::handleFlush()
{
    releaseBatch(false);
}

void caller_session::addToBatch(operation next)
{
    addDescribedPortal();
    m_batch.push_back(std::move(next));
}

/** Adds the description of a portal that is not executed next. */
void caller_session::addDescribedPortal()
{
    if (const auto name = std::exchange(m_describedPortal, std::nullopt))
        m_batch.emplace_back(describe_portal_operation{*name});
}

/** Moves the batch to the queue of operations. Statements before one Sync form one transaction, to
 * which more statements may be added after a Flush.
 */
void caller_session::releaseBatch(bool complete)
{
    addDescribedPortal();
    const bool needsTransaction = m_batchStatements > 1 || (!complete && m_batchStatements > 0);
    if (needsTransaction && !m_batchTransactionOpen) {
        m_operations.emplace_back(begin_implicit_transaction_operation{});
        m_batchTransactionOpen = true;
    }
    std::ranges::move(m_batch, std::back_inserter(m_operations));
    m_batch.clear();
    m_batchStatements = 0;
    if (complete && std::exchange(m_batchTransactionOpen, false))
        m_operations.emplace_back(end_implicit_transaction_operation{});
}

} // namespace sycamorespan
