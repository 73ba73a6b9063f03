// Input of callers, members, the store, other instances and the platform may be malformed in any
// way: a decoder rejects it with the error that its callers handle, or returns something. It never
// throws another exception, reads outside of its input or runs for long.

#include "platform/caller_codec.h"
#include "platform/documents.h"
#include "platform/member_codec.h"
#include "platform/settings.h"
#include "platform/store_protocol.h"
#include "programs/node/coordination_rows.h"
#include "sycamorespan/Brokerage"
#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Membership/fleet_messages.h"
#include "sycamorespan/src/Quota/quota_messages.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

namespace {

using namespace sycamorespan;
using namespace std::string_view_literals;

constexpr int mutationsPerInput = 20'000;
constexpr std::size_t maximumChanges = 6;

/** A decoder with valid inputs, from which malformed ones are derived. */
struct decoder_case
{
    std::string name;
    std::vector<std::string> validInputs;
    std::function<void(const std::string &)> decode;
};

/** \returns \a input with a few bytes changed, removed, repeated or inserted, or cut off. */
std::string mutate(std::string input, std::mt19937 &random)
{
    const auto below = [&](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    // Bytes at which the formats change their structure are more likely to be misread than others.
    constexpr auto structural = "\0\x1b\x7f\x81\x9b\xbb\xff{}[]\",:. -\r\n0="sv;
    const auto changes = 1 + below(maximumChanges);
    for (std::size_t change = 0; change < changes && !input.empty(); ++change) {
        const auto at = below(input.size());
        switch (below(6)) {
        case 0:
            input[at] = static_cast<char>(below(256));
            break;
        case 1:
            input[at] = structural[below(structural.size())];
            break;
        case 2:
            input.erase(at, 1 + below(8));
            break;
        case 3:
            input.insert(at, 1, structural[below(structural.size())]);
            break;
        case 4:
            input.insert(at, input.substr(below(input.size()), below(32)));
            break;
        default:
            input.resize(at);
            break;
        }
    }
    return input;
}

instance_incarnation anInstance()
{
    return {instance_id("front-a-1"), 77, "127.0.0.1:7560", data_centre_id("a"), 250};
}

primary_view aView()
{
    primary_view view;
    view.database = database_id("db1");
    view.revision = 12;
    view.primary = server_id("i-1");
    view.term = 3;
    view.holders = {{server_id("i-1"), 1'700'000'000'000}, {server_id("i-2"), 1'700'000'000'001}};
    return view;
}

fleet_news someNews()
{
    fleet_news news;
    news.configurationVersion = 4;
    news.views = {aView()};
    news.floors = {{database_id("db1"), {3, 1200}, reference_time(5s)}};
    return news;
}

instance_report anInstanceReport()
{
    instance_report report;
    report.sender = anInstance();
    report.news = someNews();
    report.observations = {{database_id("db1"), 12, 1, 0, 2}};
    report.loads = {{server_id("i-1"), 3, member_capacity{2.5, 4.25, 40}}};
    return report;
}

relay_report aRelayReport()
{
    relay_report report;
    report.sender = anInstance();
    report.news = someNews();
    data_centre_state state;
    state.dataCentre = data_centre_id("a");
    state.instances = {{77, {true, true, false, true}}};
    state.loads = {{server_id("i-1"), 3}};
    report.dataCentres = {state};
    return report;
}

std::vector<std::string> quotaMessages()
{
    const auto toText = [](const quota_message &message) {
        const auto bytes = encodeQuotaMessage(message);
        return std::string(bytes.begin(), bytes.end());
    };
    const holder_incarnation borrower{holder_id("h1"), 1};
    const holder_incarnation lender{holder_id("h2"), 2};
    return {toText(loan_request{workspace_id("shop"),
                                borrower,
                                5,
                                token_amount::tokens(2),
                                2,
                                {{4, token_amount::tokens(1)}}}),
            toText(loan_grant{workspace_id("shop"), lender, borrower, 5, 6, token_amount::tokens(2),
                              token_amount::tokens(9)})};
}

std::vector<std::string> brokerFrames()
{
    brokered_statement statement;
    statement.operation = 7;
    statement.requestId = "5c0e";
    statement.work = brokered_execution{statement_access::write, "q", "1a4"};
    statement.databaseName = "sales";
    statement.workspace = workspace_id("shop");
    statement.transaction = brokered_transaction{true, true, 40ms};
    statement.values = {{"v", "1"}};
    brokered_answer answer;
    answer.answer.rows = {"one"};
    answer.answer.position = log_position{1, 2};
    return {encodeFrame(broker_hello{1, instance_id("front-a-1"), 77}) + encodeFrame(statement),
            encodeFrame(answer) + encodeFrame(brokered_end{7}) + encodeFrame(broker_probe{})};
}

const std::string settingsText = "node_name=front-a-1\nip=127.0.0.1\nzone=a\n"
                                 "listen_addrs.front=127.0.0.1:1\nlisten_addrs.ready=127.0.0.1:2\n"
                                 "internal_ports=7560,7575\nheartbeat_ms=1200\n"
                                 "limits.cpu_share=0.25\nplatform.address=127.0.0.1:3\n"
                                 "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
                                 "cloud_api.address=127.0.0.1:4\nbounds.drain_ms=7000\n"
                                 "bounds.grace_s=6\nbounds.config_apply_ms=3000\n"
                                 "bounds.evacuate_ms=5000\nzones.a=north\n";

const std::string configurationText =
        R"({"version":4,"routes":[{"db_name":"sales","backend":"db1","type":"bounded_stale",)"
        R"("max_staleness_ms":1500,"timeout_ms":1200,"target_latency_ms":200,"priority":0,)"
        R"("allowed_regions":["north"]}],)"
        R"("services":[{"name":"db1","max_conns":50,"slots":5,"sync_replicas":1,"warmup_s":8,)"
        R"("cold_per_s":20}],"tenants":[{"name":"shop","api_keys":["k1"],"rate_per_s":20,)"
        R"("burst":20,"allowed_regions":["north","south"]}],)"
        R"("limits":{"txn_idle_ms":5000}})";

const std::string serverText =
        R"({"backend":"db1","address":"127.0.0.1:5","zone":"a","version":"1","capacity":5,)"
        R"("state":"ready","warmup_left_ms":0,"seq":3,"born":1700000000000,"db_role":"replica"})";

const std::string rowsText =
        R"({"rows":[{"table":"op","part":"","key":"config","value":"e30=","ver":7},)"
        R"({"table":"op","part":"","key":"x","tombstone":true,"ver":8}],"ver":9,"now_ms":1234})";

std::vector<decoder_case> decoders()
{
    return {
            {"caller",
             {"CONNECT sales k1", "QUERY 5c0e AFTER 3.12 READ 1a4", "QUERY 5c0e PREPARE s1 WRITE q",
              "QUERY 5c0e EXECUTE s1 1a4 data", "QUERY 5c0e SET v0 value", "QUIT"},
             [](const std::string &text) { platform::decodeCallerLine(text); }},
            {"member",
             {"ROW one\r\nCOMPLETE db1-1.7\r\nREADY I 3.1209\r\n",
              "ERROR READONLY i-7f\r\nREADY E 3.1209\r\n", "READY I -\r\n"},
             [](const std::string &text) {
                 platform::answer_reader reader;
                 reader.append(text);
                 while (reader.next())
                     ;
                 reader.refusal();
             }},
            {"messages of brokers", brokerFrames(),
             [](const std::string &text) {
                 broker_frame_reader reader(4096);
                 reader.append(text);
                 while (reader.next())
                     ;
             }},
            {"member status",
             {"replica 3 3.1209 0 12 2 17"},
             [](const std::string &text) { platform::decodeMemberStatus(text); }},
            {"configuration",
             {configurationText},
             [](const std::string &text) { platform::decodeConfiguration(text); }},
            {"server entry",
             {serverText},
             [](const std::string &text) { platform::decodeServerEntry("i-1", text); }},
            {"rows of the store",
             {rowsText},
             [](const std::string &text) { platform::decodeRows(text); }},
            {"settings",
             {settingsText},
             [](const std::string &text) { platform::parseSettings(text); }},
            {"coordination rows",
             {node::coordination_rows::encode(aView()),
              node::coordination_rows::encode(supervisor_claim{}),
              node::coordination_rows::encode(anInstance())},
             [](const std::string &text) {
                 node::coordination_rows::decodeView(text, 1);
                 node::coordination_rows::decodeClaim(text, 1);
                 node::coordination_rows::decodeInstance(text);
             }},
            {"report of an instance",
             {encode(anInstanceReport())},
             [](const std::string &text) { decodeInstanceReport(text); }},
            {"report of a relay",
             {encode(aRelayReport())},
             [](const std::string &text) { decodeRelayReport(text); }},
            {"quota message", quotaMessages(),
             [](const std::string &text) {
                 decodeQuotaMessage({text.begin(), text.end()});
             }},
    };
}

class decoder_mutations : public ::testing::TestWithParam<decoder_case>
{ };

TEST_P(decoder_mutations, ValidInputIsAccepted)
{
    std::ranges::for_each(GetParam().validInputs, [](const std::string &input) {
        EXPECT_NO_THROW(GetParam().decode(input)) << input;
    });
}

TEST_P(decoder_mutations, MalformedInputIsRejectedWithADecodeErrorOnly)
{
    std::mt19937 random(20261205);
    for (const auto &input : GetParam().validInputs) {
        for (int count = 0; count < mutationsPerInput; ++count) {
            const auto mutated = mutate(input, random);
            try {
                GetParam().decode(mutated);
            } catch (const decode_error &) {
                continue;
            } catch (const std::exception &failure) {
                FAIL() << failure.what() << ", input: " << ::testing::PrintToString(mutated);
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(, decoder_mutations, ::testing::ValuesIn(decoders()),
                         [](const ::testing::TestParamInfo<decoder_case> &each) {
                             auto name = each.param.name;
                             std::ranges::replace(name, ' ', '_');
                             return name;
                         });

} // namespace
