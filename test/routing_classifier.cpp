#include "sycamorespan/Routing"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

using kind = statement_kind;

struct classification_case
{
    kind expected;
    std::vector<std::string> texts;
};

const std::vector<classification_case> classificationCases = {
        {kind::read,
         {"SELECT 1", "SELECT a FROM t WHERE b = $1 ORDER BY 1 LIMIT 5",
          "SELECT count(*), max(lower(a)) FROM t GROUP BY c HAVING sum(d) > 2",
          "WITH x AS (SELECT 1 AS a) SELECT * FROM x JOIN y USING (a)", "VALUES (1), (2)",
          "TABLE t", "SELECT 1 UNION ALL SELECT 2",
          "SELECT pg_catalog.upper(a), coalesce(a, b), CASE WHEN a IS NULL THEN 1 END FROM t",
          "SELECT EXTRACT(year FROM now()), a::text, row_number() OVER (PARTITION BY b) FROM t",
          "EXPLAIN SELECT 1", "EXPLAIN ANALYZE SELECT 1", "/* note */ SELECT 1 -- end"}},
        {kind::write,
         {"INSERT INTO t VALUES (1)",
          "UPDATE t SET a = 1",
          "DELETE FROM t",
          "CREATE TABLE t (a int)",
          "MERGE INTO t USING s ON t.a = s.a WHEN MATCHED THEN DELETE",
          "TRUNCATE t",
          "SELECT a FROM t FOR UPDATE",
          "SELECT * FROM (SELECT a FROM t FOR SHARE) s",
          "SELECT 1 UNION (SELECT a FROM t FOR UPDATE)",
          "SELECT a INTO u FROM t",
          "WITH x AS (DELETE FROM t RETURNING a) SELECT * FROM x",
          "SELECT nextval('s')",
          "SELECT owner.lower('a')",
          "SELECT my_function()",
          "SELECT a FROM f(1)",
          "SELECT 1 OPERATOR(owner.+) 2",
          "EXPLAIN ANALYZE DELETE FROM t",
          "CALL p()",
          "DO 'BEGIN END'",
          "SELECT * FROM pg_stat_activity",
          "SELECT pg_is_in_recovery()",
          "SELECT * FROM t WHERE a IN (SELECT my_function())",
          "LOCK TABLE t",
          "NOTIFY n",
          "SELECT set_config('a.b', 'c', true)",
          "CREATE TEMP TABLE t (a int) ON COMMIT DROP",
          "DECLARE c CURSOR FOR SELECT 1",
          "SELECT pg_advisory_xact_lock(1)"}},
        {kind::begin, {"BEGIN", "START TRANSACTION ISOLATION LEVEL SERIALIZABLE"}},
        {kind::commit, {"COMMIT", "END"}},
        {kind::rollback, {"ROLLBACK", "ABORT"}},
        {kind::savepoint, {"SAVEPOINT a", "RELEASE a", "ROLLBACK TO a"}},
        {kind::proxyParameter,
         {"SET sycamorespan.max_staleness = '5s'", "SHOW sycamorespan.position",
          "RESET sycamorespan.max_staleness", "SET LOCAL SycamoreSpan.max_staleness TO 5"}},
        {kind::sessionParameter,
         {"SET search_path TO a, b", "SET TIME ZONE DEFAULT", "RESET ALL", "SET a.b = -1.5"}},
        {kind::transactionParameter,
         {"SET LOCAL a.b = 1", "SET TRANSACTION READ ONLY", "SET CONSTRAINTS ALL DEFERRED"}},
        {kind::show, {"SHOW server_version"}},
        {kind::discard, {"DISCARD ALL", "DISCARD PLANS", "DISCARD SEQUENCES", "DISCARD TEMP"}},
        {kind::sessionState,
         {"LISTEN c", "UNLISTEN *", "PREPARE p AS SELECT 1", "EXECUTE p", "DEALLOCATE p",
          "CREATE TEMP TABLE t (a int)", "CREATE TEMP VIEW v AS SELECT 1", "SELECT 1 INTO TEMP t",
          "CREATE TEMP TABLE t AS SELECT 1", "CREATE TEMP SEQUENCE s",
          "INSERT INTO pg_temp.t VALUES (1)", "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
          "SELECT pg_advisory_lock(1)", "INSERT INTO t SELECT pg_try_advisory_lock(1)",
          "SELECT set_config('a.b', 'c', false)", "SET ROLE r", "SET SESSION AUTHORIZATION r",
          "LOAD 'x'", "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY"}},
        {kind::copy, {"COPY t TO STDOUT", "COPY t FROM STDIN"}},
        {kind::twoPhase, {"PREPARE TRANSACTION 'x'", "COMMIT PREPARED 'x'"}},
};

TEST(statement_classification, determinesTheKindOfEachStatement)
{
    for (const auto &[expected, texts] : classificationCases) {
        for (const auto &text : texts) {
            const auto result = classifyStatements(text);
            ASSERT_EQ(result.statements.size(), 1U) << text;
            EXPECT_EQ(result.statements[0].kind, expected) << text;
            EXPECT_EQ(result.isReadOnly(), expected == kind::read || expected == kind::show)
                    << text;
        }
    }
}

TEST(statement_classification, extractsParametersAndTransactionModes)
{
    const auto set = classifyStatements("SET sycamorespan.max_staleness = '5s'").statements.at(0);
    EXPECT_EQ(set.parameter,
              (parameter_statement{parameter_action::set, "sycamorespan.max_staleness", "5s"}));
    EXPECT_EQ(classifyStatements("SET a TO 0, on").statements.at(0).parameter->value, "0,on");
    EXPECT_TRUE(classifyStatements("BEGIN READ ONLY").statements.at(0).readOnlyTransaction);
    EXPECT_FALSE(classifyStatements("BEGIN READ WRITE").statements.at(0).readOnlyTransaction);
    EXPECT_TRUE(classifyStatements("COMMIT AND CHAIN").statements.at(0).chainsTransaction);
}

TEST(statement_classification, countsStatementsAndTheirRanges)
{
    const std::string text = "BEGIN; DELETE FROM t; COMMIT";
    const auto result = classifyStatements(text);
    ASSERT_EQ(result.statements.size(), 3U);
    EXPECT_EQ(text.substr(result.statements[1].offset, result.statements[1].length),
              " DELETE FROM t");
    EXPECT_FALSE(classifyStatements("SELECT 1; DELETE FROM t").isReadOnly());
    EXPECT_TRUE(classifyStatements("SELECT 1; SELECT 2").isReadOnly());
    EXPECT_TRUE(classifyStatements(" -- nothing").isEmpty());
}

TEST(statement_classification, neverClassifiesInvalidTextAsReadOnly)
{
    using namespace std::string_literals;
    const std::vector<std::string> invalidTexts = {
            "selec 1", "SELECT 1\0; DELETE FROM t"s, "SELECT '\xff\xfe'", "SELECT (",
            "SELECT " + std::string(20000, '(') + "1" + std::string(20000, ')')};
    for (const auto &text : invalidTexts) {
        const auto result = classifyStatements(text);
        EXPECT_FALSE(result.isReadOnly()) << text.substr(0, 20);
        EXPECT_TRUE(result.syntaxError) << text.substr(0, 20);
    }
}

RC_GTEST_PROP(statement_classification, aNestedWriteIsNeverClassifiedAsARead, ())
{
    const auto wrappers =
            std::vector<std::pair<std::string, std::string>>{{"SELECT * FROM (", ") s"},
                                                             {"SELECT 1 WHERE EXISTS (", ")"},
                                                             {"WITH c AS (", ") SELECT * FROM c"},
                                                             {"SELECT ARRAY(", ")"}};
    std::string text = *rc::gen::elementOf(
            std::vector<std::string>{"SELECT nextval('s')", "SELECT a FROM t FOR UPDATE",
                                     "WITH d AS (DELETE FROM t RETURNING a) SELECT a FROM d"});
    for (const auto &[before, after] :
         *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
                 rc::gen::elementOf(wrappers)))
        text.insert(0, before).append(after);
    RC_ASSERT(!classifyStatements(text).isReadOnly());
}

RC_GTEST_PROP(statement_classifier, cacheIsBoundedAndAgreesWithTheParser, ())
{
    const statement_cache_limits limits{.entries = 3, .bytesPerText = 40, .bytesOfTexts = 60};
    statement_classifier classifier(limits);
    for (const int number : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
        const std::string text = (number % 2 == 0 ? "SELECT " : "DELETE FROM t WHERE a = ")
                                 + std::string(static_cast<std::size_t>(number) * 3, ' ')
                                 + std::to_string(number);
        RC_ASSERT(*classifier.classify(text) == classifyStatements(text));
        RC_ASSERT(classifier.size() <= limits.entries);
    }
}

TEST(statement_classifier, keepsTheMostRecentlyUsedTexts)
{
    statement_classifier classifier({.entries = 2, .bytesPerText = 40, .bytesOfTexts = 100});
    for (const auto *text : {"SELECT 1", "SELECT 2", "SELECT 1", "SELECT 3", "SELECT 1"})
        classifier.classify(text);
    EXPECT_EQ(classifier.counters(), (statement_cache_counters{2, 3, 1}));
}

} // namespace
} // namespace sycamorespan
