// Tests of the codecs for the users' platform: lines, documents, settings and store calls.

#include "strict_member.h"

#include "platform/caller_codec.h"
#include "platform/documents.h"
#include "platform/line_reader.h"
#include "platform/member_codec.h"
#include "platform/settings.h"
#include "platform/store_protocol.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::platform;

std::vector<std::string> splitIntoLines(const std::string &bytes, std::size_t pieceSize)
{
    line_reader reader;
    std::vector<std::string> lines;
    for (std::size_t offset = 0; offset < bytes.size(); offset += pieceSize) {
        reader.append(bytes.substr(offset, pieceSize));
        while (const auto line = reader.next())
            lines.push_back(*line);
    }
    return lines;
}

caller_request decodeRequest(const std::string &line)
{
    return std::get<caller_request>(decodeCallerLine(line));
}

RC_GTEST_PROP(PlatformLines, LinesDoNotDependOnPieceSize, ())
{
    const auto line = rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
    const auto lines = *rc::gen::container<std::vector<std::string>>(line);
    std::string bytes;
    for (const auto &each : lines)
        bytes += each + "\r\n";
    RC_ASSERT(splitIntoLines(bytes, *rc::gen::inRange<std::size_t>(1, 9)) == lines);
}

TEST(PlatformLines, OversizedLineIsRejectedBeforeItEnds)
{
    line_reader reader;
    reader.append(std::string(maxLineBytes + 1, 'x'));
    EXPECT_THROW(reader.next(), decode_error);
}

TEST(PlatformLines, LineBreakWithinAStatementIsRejected)
{
    for (const std::string bytes :
         {"QUERY a READ x\nQUERY b WRITE x 1\r\n", "QUERY a READ x\rQUERY b WRITE x 1\r\n"}) {
        line_reader reader;
        reader.append(bytes);
        EXPECT_THROW(while (reader.next()){}, decode_error) << bytes;
    }
}

TEST(PlatformCallers, StatementsAreDecoded)
{
    using namespace caller_statement;
    const std::vector<std::pair<std::string, parsed_statement>> expected{
            {"BEGIN", begin{false}},
            {"BEGIN READ", begin{true}},
            {"COMMIT", commit{}},
            {"ROLLBACK", rollback{}},
            {"READ 1a4", direct{statement_access::read}},
            {"WRITE 1a4 some data", direct{statement_access::write}},
            {"SET v0 a b", set_value{"v0", "a b"}},
            {"PREPARE s1 WRITE q2c", prepare{"s1", statement_access::write, "q2c"}},
            {"EXECUTE s1 1a4 xkq", execute{"s1", "1a4 xkq"}},
            {"DEALLOC s1", deallocate{"s1"}},
    };
    for (const auto &[text, parsed] : expected) {
        const auto request = decodeRequest("QUERY 5c0e " + text);
        EXPECT_EQ(request.id, "5c0e");
        EXPECT_EQ(request.text, text);
        EXPECT_EQ(request.parsed, parsed) << text;
    }
}

TEST(PlatformCallers, StatementsForMembersAreRejectedFromCallers)
{
    for (const auto *text : {"AFTER 3.1 READ x", "STATUS", "PAUSE 3", "STEPDOWN 3", "DISCARD",
                             "PREPARE s1 BOTH q", "READ"})
        EXPECT_TRUE(std::holds_alternative<caller_statement::malformed>(
                decodeRequest(std::string("QUERY a ") + text).parsed))
                << text;
    EXPECT_THROW(decodeCallerLine("QUERY - READ x"), decode_error);
    EXPECT_THROW(decodeCallerLine("HELLO"), decode_error);
    EXPECT_THROW(decodeCallerLine("CONNECT"), decode_error);
}

TEST(PlatformCallers, StatementsWithoutAFieldOfTheGrammarAreRejected)
{
    for (const auto *text : {"EXECUTE s1", "EXECUTE s1 ", "SET v0", "SET", "SET  x", "COMMIT ",
                             "ROLLBACK ", "BEGIN ", "PREPARE s1 READ", "DEALLOC "})
        EXPECT_TRUE(std::holds_alternative<caller_statement::malformed>(
                decodeRequest(std::string("QUERY a ") + text).parsed))
                << '"' << text << '"';
    EXPECT_EQ(decodeRequest("QUERY a SET v0 ").parsed,
              parsed_statement(caller_statement::set_value{"v0", ""}));
}

TEST(PlatformCallers, TheKeyExtendsToTheEndOfTheLine)
{
    const auto message = std::get<connect_message>(decodeCallerLine("CONNECT sales k1 k2"));
    EXPECT_EQ(message, (connect_message{"sales", "k1 k2"}));
}

// Guards against answers beyond the limit of a line, where an error repeats a text of the caller.
TEST(PlatformCallers, ErrorsAreOneLineWithinTheLimit)
{
    for (const auto &text : std::vector<std::string>{std::string(maxLineBytes, 'x'), "two\r\nlines",
                                                     "two\nlines", std::string("a\0b", 3)}) {
        const rejected error{statement_error::unknownDatabase, text};
        EXPECT_EQ(splitIntoLines(encodeRejected(error), 4096).size(), 1U) << text.substr(0, 20);
        const statement_answer answer{{}, error, session_state::idle, {}};
        EXPECT_EQ(splitIntoLines(encodeAnswer(answer), 4096).size(), 2U) << text.substr(0, 20);
    }
}

/** \returns any text that the last field of a line may hold. */
std::string anyLineText(std::size_t leastBytes)
{
    const auto byte = rc::gen::suchThat(
            rc::gen::weightedOneOf<char>(
                    {{4, rc::gen::arbitrary<char>()}, {1, rc::gen::just(' ')}}),
            [](char each) { return each != '\r' && each != '\n' && each != '\0'; });
    auto text = *rc::gen::container<std::string>(byte);
    text.resize(std::max(text.size(), leastBytes), 'x');
    return text;
}

std::string anyField()
{
    auto text = *rc::gen::weightedOneOf<std::string>(
            {{3, rc::gen::exec([] { return anyLineText(1); })},
             {1, rc::gen::elementOf(std::vector<std::string>{"READ", "WRITE", "AFTER", "-"})}});
    std::ranges::replace(text, ' ', '_');
    return text;
}

/** \returns the statements by which a member runs the caller's, as it was received. */
std::vector<outgoing_statement> forMember(const caller_request &request)
{
    namespace from = caller_statement;
    namespace to = member_statement;
    return std::visit(
            overloaded{[&](const from::set_value &each) -> std::vector<outgoing_statement> {
                           return {to::set_value{each.name, each.value}};
                       },
                       [&](const from::prepare &each) -> std::vector<outgoing_statement> {
                           return {to::prepare{each.name, each.access, each.statementShape}};
                       },
                       [&](const from::execute &each) -> std::vector<outgoing_statement> {
                           return {to::execute{request.id, each.name, each.arguments, {}}};
                       },
                       [&](const auto &) -> std::vector<outgoing_statement> {
                           return {to::forward{request.id, request.text, {}}};
                       }},
            request.parsed);
}

// Guards against a text of a caller that a member reads as another field.
RC_GTEST_PROP(PlatformMembers, MembersReadWhatTheLinesOfCallersSay, ())
{
    test::strict_member_connection member(true);
    const auto send = [&](const std::string &id, const std::string &text) {
        line_reader reader;
        reader.append("QUERY " + id + " " + text + "\r\n");
        for (const auto &each : forMember(decodeRequest(*reader.next())))
            RC_ASSERT(member.handle(encodeStatement(each), "").starts_with("ERROR") == false);
    };
    const auto id = anyField() + "i";
    const auto name = anyField();
    const auto value = anyLineText(0);
    const auto prepared = anyField();
    const std::string access = *rc::gen::element("READ", "WRITE");
    const auto shape = anyLineText(1);
    const auto arguments = anyField() + " " + anyLineText(0);
    send("set", "SET " + name + " " + value);
    send("prepare", "PREPARE " + prepared + " " + access + " " + shape);
    send(id, "EXECUTE " + prepared + " " + arguments);
    send(id, access + " " + arguments);
    RC_ASSERT(member.violations.empty());
    RC_ASSERT(member.runs.size() == 2U);
    for (const auto &run : member.runs) {
        RC_ASSERT(run.id == id);
        RC_ASSERT(run.word == access);
        RC_ASSERT(run.arguments == arguments);
        RC_ASSERT((run.values == std::map<std::string, std::string>{{name, value}}));
    }
    RC_ASSERT(member.runs.front().shape == shape);
}

TEST(PlatformMembers, NamesThatAreNoFieldsAreNotSent)
{
    for (const std::string odd : {"", "a b", "a\r\nQUERY x WRITE y 1"}) {
        EXPECT_THROW(encodeConnect(database_id(odd), workspace_id("w"), server_id("i-1")),
                     decode_error);
        EXPECT_THROW(encodeConnect(database_id("d"), workspace_id(odd), server_id("i-1")),
                     decode_error);
        EXPECT_THROW(encodeConnect(database_id("d"), workspace_id("w"), server_id(odd)),
                     decode_error);
    }
}

RC_GTEST_PROP(PlatformCallers, AnyLineIsDecodedOrRejected, (const std::string &line))
{
    try {
        static_cast<void>(decodeCallerLine(line));
    } catch (const decode_error &) {
        RC_SUCCEED("refused");
    }
}

TEST(PlatformMembers, StatementsAreEncoded)
{
    using namespace member_statement;
    EXPECT_EQ(encodeStatement(forward{"a", "READ x", log_position{3, 1207}}),
              "QUERY a AFTER 3.1207 READ x\r\n");
    EXPECT_EQ(encodeStatement(execute{"a", "rq1", "x", std::nullopt}), "QUERY a EXECUTE rq1 x\r\n");
    EXPECT_EQ(encodeStatement(begin{true, log_position{1, 2}}), "QUERY - AFTER 1.2 BEGIN READ\r\n");
    EXPECT_EQ(encodeStatement(prepare{"wq1", statement_access::write, "q1"}),
              "QUERY - PREPARE wq1 WRITE q1\r\n");
    EXPECT_EQ(encodeStatement(step_down{4}), "QUERY - STEPDOWN 4\r\n");
    EXPECT_EQ(encodeConnect(database_id("db"), workspace_id("shop"), server_id("i-1")),
              "CONNECT db shop i-1\r\n");
}

TEST(PlatformMembers, AnswersAreDecodedFromSingleBytes)
{
    const std::string bytes = "READY I 3.1207\r\nROW abc\r\nROW \r\nCOMPLETE 7.1f\r\nREADY T 3.1209"
                              "\r\nERROR READONLY i-7\r\nREADY E -\r\n";
    answer_reader reader;
    std::vector<statement_answer> answers;
    for (const char byte : bytes) {
        reader.append(std::string_view(&byte, 1));
        while (const auto answer = reader.next())
            answers.push_back(*answer);
    }
    ASSERT_EQ(answers.size(), 3U);
    EXPECT_EQ(answers[0].position, (log_position{3, 1207}));
    EXPECT_EQ(answers[1].rows, (std::vector<std::string>{"abc", ""}));
    EXPECT_EQ(std::get<completed>(answers[1].result).receipt, "7.1f");
    EXPECT_EQ(answers[1].state, session_state::inTransaction);
    EXPECT_EQ(std::get<rejected>(answers[2].result).code, statement_error::readOnly);
    EXPECT_FALSE(answers[2].position);
}

TEST(PlatformMembers, RefusedConnectionHasTheErrorOfTheMember)
{
    answer_reader reader;
    reader.append("ERROR CONNLIMIT full\r\n");
    EXPECT_FALSE(reader.next());
    EXPECT_EQ(reader.refusal(), statement_error::connectionLimit);
}

TEST(PlatformMembers, UnknownErrorIsDecodedAsFailed)
{
    answer_reader reader;
    reader.append("ERROR SOMETHING new\r\nREADY I -\r\n");
    EXPECT_EQ(std::get<rejected>(reader.next()->result).code, statement_error::failed);
}

TEST(PlatformMembers, StatusRowsAreDecoded)
{
    EXPECT_EQ(decodeMemberStatus("replica 3 3.1209 4 12 2 17"),
              (replication_status{replication_role::replica, 3, {3, 1209}, 4}));
    EXPECT_THROW(decodeMemberStatus("leader 3 3.1 0 0 0 0"), decode_error);
    EXPECT_THROW(decodeMemberStatus(""), decode_error);
}

constexpr const char *configuration = R"({"version":7,
"routes":[{"name":"r","db_name":"sales","prefix":"/","type":"bounded_stale","timeout_ms":3000,
"target_latency_ms":800,"priority":2,"backend":"db1","attempts":2,"max_staleness_ms":1500,
"public":false}],
"services":[{"name":"db1","max_conns":32,"sync_replicas":1}],
"limits":{"txn_idle_ms":3000},
"tenants":[{"name":"shop","api_keys":["k1","k2"],"priority":1,"rate_per_s":129,"burst":60}]})";

TEST(PlatformDocuments, AllConfigurationFieldsAreDecoded)
{
    const auto decoded = decodeConfiguration(configuration);
    EXPECT_TRUE(decoded.rejected.empty());
    const auto &directory = decoded.directory;
    EXPECT_EQ(directory.version, 7U);
    const auto &route = directory.routes.at("sales");
    EXPECT_EQ(route.database, database_id("db1"));
    EXPECT_EQ(route.reads, consistency::boundedStaleness);
    EXPECT_EQ(route.statementTimeout, 3s);
    EXPECT_EQ(route.maxStaleness, 1500ms);
    EXPECT_EQ(directory.keyOwners.at("k2"), workspace_id("shop"));
    EXPECT_EQ(directory.workspaces.at(workspace_id("shop")), (workspace_limit{129, 60}));
    EXPECT_EQ(directory.databases.at(database_id("db1")), (database_limits{32, 1}));
    EXPECT_EQ(directory.transactionIdleTimeout, 3s);
}

TEST(PlatformDocuments, ErrorNamesTheMissingField)
{
    const auto decoded = decodeConfiguration(R"({"version":1,"routes":[{"db_name":"x"}]})");
    ASSERT_EQ(decoded.rejected.size(), 1U);
    EXPECT_EQ(decoded.rejected[0].list, "routes");
    EXPECT_EQ(decoded.rejected[0].name, "x");
    EXPECT_NE(decoded.rejected[0].cause.find("backend"), std::string::npos);
    EXPECT_TRUE(decoded.directory.routes.empty());
    EXPECT_THROW(decodeConfiguration(R"({"routes":[]})"), decode_error);
    EXPECT_THROW(decodeConfiguration(R"({"version":1,"routes":{}})"), decode_error);
}

/** \returns \a text with the first occurrence of \a from replaced. */
std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

// Guards against one odd entry that keeps a whole version of the lists from taking effect.
TEST(PlatformDocuments, HomesAndWarmUpAreDecoded)
{
    const auto decoded = decodeConfiguration(
            R"({"version":1,"routes":[{"db_name":"s","backend":"d","type":"primary",)"
            R"("timeout_ms":1,"target_latency_ms":1,"allowed_regions":["north"]}],)"
            R"("services":[{"name":"d","warmup_s":8.5,"cold_per_s":20}],"tenants":)"
            R"([{"name":"t","rate_per_s":1,"burst":1,"allowed_regions":["north","south"]},)"
            R"({"name":"u","rate_per_s":1,"burst":1,"allowed_regions":[7]}]})");
    EXPECT_EQ(decoded.directory.routes.at("s").homes, std::set{area_id("north")});
    EXPECT_EQ(decoded.directory.workspaceHomes.at(workspace_id("t")).size(), 2U);
    EXPECT_EQ(decoded.directory.databases.at(database_id("d")).warmUp, 8500ms);
    EXPECT_EQ(decoded.directory.databases.at(database_id("d")).warmUpRatePerSecond, 20);
    EXPECT_EQ(decoded.rejected.size(), 1U) << "an odd list of homes must not allow everything";
    EXPECT_FALSE(decoded.directory.workspaces.contains(workspace_id("u")));
}

TEST(PlatformDocuments, AnOddEntryOfTheConfigurationCostsOnlyThatEntry)
{
    const std::string whole = configuration;
    const std::string deep = std::string(20'000, '[') + std::string(20'000, ']');
    const auto oddRoutes = std::vector<std::string>{
            "7",
            "null",
            R"({"db_name":"odd"})",
            R"({"db_name":"sales","backend":"db2"})",
            deep,
            R"({"db_name":"odd","type":"primary","timeout_ms":1e300,"target_latency_ms":1,"backend":"d"})",
            R"({"db_name":"odd","type":"primary","timeout_ms":-1,"target_latency_ms":1,"backend":"d"})",
            R"({"db_name":"odd","type":"primary","timeout_ms":9,"target_latency_ms":1,"backend":"a b"})",
            R"({"db_name":"odd","type":"new","timeout_ms":9,"target_latency_ms":1,"backend":"d"})"};
    for (const auto &odd : oddRoutes) {
        const auto decoded = decodeConfiguration(replaced(whole, "}],", "}," + odd + "],"));
        EXPECT_EQ(decoded.rejected.size(), 1U) << odd.substr(0, 100);
        EXPECT_EQ(decoded.directory, decodeConfiguration(whole).directory) << odd.substr(0, 100);
    }
    for (const auto *odd : {R"({"name":"shop","api_keys":["k9"],"rate_per_s":1,"burst":1})",
                            R"({"name":"a\r\nb","api_keys":["k9"],"rate_per_s":1,"burst":1})",
                            R"({"name":"odd","api_keys":"k9","rate_per_s":1,"burst":1})",
                            R"({"name":"odd","api_keys":["k9"],"rate_per_s":1e300,"burst":1})"}) {
        const auto decoded = decodeConfiguration(
                replaced(whole, "\"burst\":60}", "\"burst\":60}," + std::string(odd)));
        EXPECT_EQ(decoded.rejected.size(), 1U) << odd;
        EXPECT_EQ(decoded.directory, decodeConfiguration(whole).directory) << odd;
    }
}

TEST(PlatformDocuments, AKeyOfTwoTenantsBelongsToTheFirst)
{
    const auto decoded = decodeConfiguration(
            R"({"version":1,"tenants":[{"name":"a","api_keys":["k1"],"rate_per_s":1,"burst":1},)"
            R"({"name":"b","api_keys":["k1","k2",3],"rate_per_s":1,"burst":1}]})");
    EXPECT_EQ(decoded.directory.keyOwners.at("k1"), workspace_id("a"));
    EXPECT_EQ(decoded.directory.keyOwners.at("k2"), workspace_id("b"));
    EXPECT_EQ(decoded.rejected.size(), 2U);
}

// Guards against a warm-up that nobody understands and that takes a member out of use.
TEST(PlatformDocuments, AnOddWarmUpCostsOnlyTheWarmUp)
{
    const std::string server =
            R"({"backend":"db1","address":"10.0.0.1:1","zone":"a","capacity":5,"state":"ready",)"
            R"("warmup_left_ms":0,"db_role":"replica","born":17})";
    for (const auto *odd : {"-1", "\"soon\"", "null", "1e300", "[]"}) {
        const auto decoded =
                decodeServerEntry("i-1", replaced(server, "_ms\":0", "_ms\":" + std::string(odd)));
        EXPECT_EQ(decoded.entry.startedAtMs, 17) << odd;
        EXPECT_EQ(decoded.entry.warmUpLeft, std::nullopt) << odd;
        ASSERT_EQ(decoded.rejected.size(), 1U) << odd;
        EXPECT_EQ(decoded.rejected[0].name, "i-1");
        EXPECT_NE(decoded.rejected[0].cause.find("warmup_left_ms"), std::string::npos);
        for (const auto *field : {"warmup_s", "cold_per_s"}) {
            const auto lists =
                    decodeConfiguration(R"({"version":1,"services":[{"name":"d","max_conns":9,")"
                                        + std::string(field) + "\":" + odd + "}]}");
            EXPECT_EQ(lists.directory.databases.at(database_id("d")).maxConnections, 9U) << odd;
            ASSERT_EQ(lists.rejected.size(), 1U) << odd;
            EXPECT_NE(lists.rejected[0].cause.find(field), std::string::npos);
        }
    }
}

TEST(PlatformDocuments, InvalidServerEntryIsSkipped)
{
    const std::string whole =
            R"({"backend":"db1","address":"10.0.0.1:1","zone":"a","capacity":5,"state":"ready",)"
            R"("warmup_left_ms":0,"db_role":"replica","seq":4,"born":17})";
    EXPECT_EQ(decodeServerEntry("i-1", whole).entry.startedAtMs, 17);
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"ready\"", "\"resting\""},
                                                          {"\"replica\"", "7"},
                                                          {"\"capacity\":5", "\"capacity\":\"5\""},
                                                          {"\"address\":\"10.0.0.1:1\",", ""},
                                                          {"}", ""}}) {
        const auto changed = replaced(whole, from, to);
        EXPECT_THROW(decodeServerEntry("i-1", changed), decode_error) << changed;
    }
}

// Guards against entries of another writer whose nesting, numbers or ports no member can have.
TEST(PlatformDocuments, ServerEntryWithImpossibleValuesIsRejected)
{
    const std::string whole =
            R"({"backend":"db1","address":"10.0.0.1:1","zone":"a","capacity":5,"state":"ready",)"
            R"("db_role":"replica","born":17})";
    const std::string deep = std::string(30'000, '[') + std::string(30'000, ']');
    EXPECT_EQ(decodeServerEntry("i-1", replaced(whole, "17", "17,\"x\":" + deep)).entry.startedAtMs,
              17)
            << "an unknown field is ignored";
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>>{{"10.0.0.1:1", "10.0.0.1:70000"},
                                                          {"10.0.0.1:1", "10.0.0.1:0"},
                                                          {"10.0.0.1:1", "10.0.0.1:-1"},
                                                          {"10.0.0.1:1", "10.0.0.1"},
                                                          {"10.0.0.1:1", "member:1"},
                                                          {"10.0.0.1:1", "[::1]:1"},
                                                          {":5,", ":-5,"},
                                                          {":5,", ":1e30,"},
                                                          {":5,", ":18446744073709551615,"},
                                                          {":5,", ":5.5,"},
                                                          {":5,", ":1e999,"},
                                                          {":5,", ":true,"},
                                                          {":17", ":1e30"},
                                                          {":17", ":18446744073709551615"},
                                                          {":17", ":-1"},
                                                          {":17", ":17.5"},
                                                          {":17", ":" + deep},
                                                          {"\"db1\"", deep},
                                                          {"\"db1\"", "\"\""},
                                                          {"\"db1\"", "\"db1 shop\""},
                                                          {"\"db1\"", "\"db1\\r\\nQUERY\""},
                                                          {whole, deep}}) {
        const auto changed = replaced(whole, from, to);
        EXPECT_THROW(decodeServerEntry("i-1", changed), decode_error) << changed.substr(0, 200);
    }
    for (const auto *id : {"", "i 1", "i-1\r\nQUERY - STATUS"})
        EXPECT_THROW(decodeServerEntry(id, whole), decode_error) << id;
}

RC_GTEST_PROP(PlatformDocuments, AnyBytesAreDecodedOrRejected, (const std::string &bytes))
{
    RC_ASSERT_THROWS_AS(decodeServerEntry("i-1", bytes), decode_error);
    RC_ASSERT_THROWS_AS(decodeConfiguration(bytes), decode_error);
}

TEST(PlatformStore, RequestsAreEncodedAndAnswersDecoded)
{
    const auto write = writeRow({"my", "a/b", "text", 5});
    EXPECT_EQ(write.path, "/api/rows-tx");
    EXPECT_NE(write.body.find("\"ver\":5"), std::string::npos);
    EXPECT_NE(write.body.find("\"dGV4dA==\""), std::string::npos);
    EXPECT_EQ(readRows("my", "a/", "b").path, "/api/rows-get?table=my&part=&from=a%2F&target=b");
    EXPECT_EQ(followRows("op", 530, 20s).path, "/api/rows-feed?table=op&after=530&wait_ms=20000");
    const auto rows = decodeRows(
            R"({"rows":[{"table":"my","part":"","key":"a","value":"bm9kZS0x","ver":412},)"
            R"({"key":"b","tombstone":true,"ver":413},{"key":7}],"more_pages":false,"ver":530,)"
            R"("now_ms":51230})");
    ASSERT_EQ(rows.rows.size(), 2U);
    EXPECT_EQ(rows.rows[0].value, "node-1");
    EXPECT_TRUE(rows.rows[1].deleted);
    EXPECT_EQ(rows.clock, reference_time(51230ms));
    EXPECT_THROW(decodeRows("{\"rows\":["), decode_error);
}

TEST(PlatformStore, PromotionOrderHasSupervisorAndFencingToken)
{
    const auto order = orderPromotion("db1", "i-1", "node-3", 8);
    EXPECT_EQ(order.headers, (std::vector<std::pair<std::string, std::string>>{
                                     {"Lease-Holder", "node-3"}, {"Fencing-Token", "8"}}));
    EXPECT_THROW(orderPromotion("db1", "i-1", "node-3\r\nFencing-Token: 9", 8), decode_error);
}

/** \returns the value of a parameter of a path, as a server decodes it. */
std::string parameterOf(const std::string &path, const std::string &name)
{
    const auto start = path.find('&' + name + '=') + name.size() + 2;
    const auto encoded = path.substr(start, path.find('&', start) - start);
    std::string decoded;
    for (std::size_t index = 0; index < encoded.size(); ++index) {
        const bool isEscape = encoded[index] == '%';
        decoded += isEscape
                           ? static_cast<char>(std::stoi(encoded.substr(index + 1, 2), nullptr, 16))
                           : encoded[index];
        index += isEscape ? 2 : 0;
    }
    return decoded;
}

RC_GTEST_PROP(PlatformStore, KeysOfAnyBytesStayOneParameter, ())
{
    const auto from = *rc::gen::nonEmpty<std::string>();
    const auto end = *rc::gen::nonEmpty<std::string>();
    const auto path = readRows("my", from, end).path;
    RC_ASSERT(parameterOf(path, "from") == from);
    RC_ASSERT(parameterOf(path, "target") == end);
    RC_ASSERT(std::ranges::count(path, '&') == 3);
    RC_ASSERT(std::ranges::all_of(path,
                                  [](unsigned char byte) { return byte > ' ' && byte < 0x7f; }));
}

TEST(PlatformSettings, TheNameOfAnInstanceIsOneWord)
{
    try {
        static_cast<void>(parseSettings("node_name=n1\r\n"));
        FAIL();
    } catch (const decode_error &failure) {
        EXPECT_NE(std::string(failure.what()).find("node_name is not one word"), std::string::npos);
    }
}

TEST(PlatformSettings, ErrorNamesAllInvalidKeys)
{
    try {
        static_cast<void>(parseSettings("node_name=n1\nplatform.address=nowhere\n"));
        FAIL();
    } catch (const decode_error &failure) {
        const std::string text = failure.what();
        for (const auto *key :
             {"zone is missing", "platform.address is not an address", "internal_ports"})
            EXPECT_NE(text.find(key), std::string::npos) << key << " in " << text;
    }
}

} // namespace
