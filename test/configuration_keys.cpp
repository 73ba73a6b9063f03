#include "sycamorespan/Configuration"
#include "sycamorespan/Core"

#include <random>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::configuration {
namespace {

const workspace_id shop("shop");
const workspace_id desk("desk");

configuration_document firstDocument()
{
    configuration_document document;
    document.version = 1;
    document.positionSecret = std::string(64, '0');
    document.recentEdits = {{1, "init"}};
    document.lists.groups[database_id("sales")].members = {
            {server_id("a"), "127.0.0.1:1", data_centre_id("regina"), 5, 30}};
    document.lists.plans["gold"] = {{database_id("sales")}, 0ms, 1, 1};
    document.lists.workspaces[shop] = {"gold"};
    document.lists.workspaces[desk] = {"gold"};
    return document;
}

configuration_document nextVersion(configuration_document document)
{
    ++document.version;
    document.recentEdits.push_back({document.version, "edit"});
    return document;
}

random_source seeded(std::uint64_t seed)
{
    return [generator = std::make_shared<std::mt19937_64>(seed)] { return (*generator)(); };
}

key_ring ringOf(const configuration_document &document)
{
    return key_ring(std::make_shared<const configuration_document>(document));
}

TEST(configuration_keys, aGrantedKeyIsValidForItsWorkspaceOnlyUntilItIsWithdrawn)
{
    const auto key = generateKey(seeded(1));
    const auto granted = withKeyGranted(firstDocument(), shop, key.entry);
    EXPECT_EQ(ringOf(granted).verify(shop, key.text), key.entry.key);
    EXPECT_EQ(ringOf(granted).verify(desk, key.text), std::nullopt);
    EXPECT_EQ(ringOf(granted).verify(workspace_id("nobody"), key.text), std::nullopt);
    const auto withdrawn = withKeyWithdrawn(granted, shop, key.entry.key);
    EXPECT_EQ(ringOf(withdrawn).verify(shop, key.text), std::nullopt);
    EXPECT_FALSE(ringOf(withdrawn).isGranted(shop, key.entry.key));
    EXPECT_EQ(key_ring(nullptr).verify(shop, key.text), std::nullopt);
}

TEST(configuration_keys, theDocumentHoldsNoSecretAndTheDiffNoHash)
{
    const auto key = generateKey(seeded(2));
    const auto secret = key.text.substr(key.text.find('.') + 1);
    const auto granted = withKeyGranted(firstDocument(), shop, key.entry);
    EXPECT_EQ(serializeDocument(granted).find(secret), std::string::npos);
    const std::vector<configuration_change> expected{
            {"/keys/shop/" + key.entry.key, "", "\"granted\""}};
    EXPECT_EQ(diffDocuments(firstDocument(), granted), expected);
}

TEST(configuration_keys, equalSecretsHaveDifferentHashes)
{
    const auto first = generateKey(seeded(3));
    const auto second = generateKey(seeded(4));
    EXPECT_NE(first.entry.salt, second.entry.salt);
    EXPECT_NE(first.entry.hash, second.entry.hash);
    EXPECT_NE(first.text, second.text);
}

RC_GTEST_PROP(configuration_keys, aChangedKeyIsRefused, ())
{
    const auto key = generateKey(seeded(*rc::gen::arbitrary<std::uint64_t>()));
    const auto ring = ringOf(withKeyGranted(firstDocument(), shop, key.entry));
    auto changed = key.text;
    const auto position = *rc::gen::inRange<std::size_t>(0, changed.size());
    changed[position] = *rc::gen::distinctFrom(changed[position]);
    RC_ASSERT(ring.verify(shop, changed) == std::nullopt);
    RC_ASSERT(ring.verify(shop, key.text.substr(0, position)) == std::nullopt);
}

RC_GTEST_PROP(configuration_keys, arbitraryTextIsNoKey, (const std::string &text))
{
    const auto ring = ringOf(withKeyGranted(firstDocument(), shop, generateKey(seeded(5)).entry));
    RC_ASSERT(ring.verify(shop, text) == std::nullopt);
}

TEST(configuration_keys, unknownWorkspacesAndKeysAreNamedInTheError)
{
    const auto key = generateKey(seeded(6));
    EXPECT_THROW(withKeyGranted(firstDocument(), workspace_id("nobody"), key.entry), error);
    EXPECT_THROW(withKeyWithdrawn(firstDocument(), shop, "missing"), error);
}

/** Model of a session that states what key_guard must allow. */
class session_model
{
public:
    session_model()
        : m_key(generateKey(seeded(7)))
        , m_document(withKeyGranted(firstDocument(), shop, m_key.entry))
        , m_guard(shop, m_key.entry.key)
    { }

    void step(int command)
    {
        switch (command) {
        case 0:
            return changeKey();
        case 1:
            m_isFresh = !m_isFresh;
            return;
        case 2:
            return endStatement();
        case 3: // may be delayed until after the next statement
            return review();
        default:
            return sendStatement(command % 2 == 0);
        }
    }

    bool isEnded() const { return m_isEnded; }

private:
    void changeKey()
    {
        m_isGranted = !m_isGranted;
        m_document = nextVersion(m_isGranted ? withKeyGranted(m_document, shop, m_key.entry)
                                             : withKeyWithdrawn(m_document, shop, m_key.entry.key));
    }

    void sendStatement(bool isOpening)
    {
        if (m_isRunning)
            return;
        const auto verdict =
                m_guard.checkStatement(ringOf(m_document), m_isFresh, m_isInTransaction);
        const auto *refusal = std::get_if<refuse_statement>(&verdict);
        RC_ASSERT((refusal == nullptr) == (m_isGranted && m_isFresh));
        if (!refusal) {
            m_isRunning = true;
            m_isInTransaction = m_isInTransaction || isOpening;
            return;
        }
        RC_ASSERT(refusal->rollBack == m_isInTransaction);
        RC_ASSERT(refusal->endSession == !m_isGranted);
        m_isInTransaction = false;
        m_isEnded = refusal->endSession;
    }

    void endStatement()
    {
        m_isRunning = false;
        review();
    }

    void review()
    {
        const auto activity = m_isRunning         ? session_activity::running
                              : m_isInTransaction ? session_activity::idleInTransaction
                                                  : session_activity::idle;
        const auto verdict = m_guard.checkSession(ringOf(m_document), activity);
        const auto *end = std::get_if<end_session>(&verdict);
        RC_ASSERT((end != nullptr) == (!m_isGranted && !m_isRunning));
        if (!end)
            return;
        RC_ASSERT(end->rollBack == m_isInTransaction);
        m_isEnded = true;
    }

    granted_key m_key;
    configuration_document m_document;
    key_guard m_guard;
    bool m_isGranted = true;
    bool m_isFresh = true;
    bool m_isRunning = false;
    bool m_isInTransaction = false;
    bool m_isEnded = false;
};

RC_GTEST_PROP(configuration_keys, noStatementStartsAfterItsKeyIsWithdrawnAndNoneIsInterrupted, ())
{
    constexpr int commandCount = 8;
    session_model session;
    for (const auto command :
         *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, commandCount))) {
        session.step(command);
        if (session.isEnded())
            return;
    }
}

TEST(configuration_keys, anOlderVersionThatArrivesLateIsNotPutInForce)
{
    const auto key = generateKey(seeded(8));
    const auto granted = nextVersion(withKeyGranted(firstDocument(), shop, key.entry));
    const auto withdrawn = nextVersion(withKeyWithdrawn(granted, shop, key.entry.key));
    configuration_follower proxy(instance_id("agent"), {});
    const auto offer = [&proxy](const configuration_document &document) {
        const messages::configuration_body body{document.version, serializeDocument(document)};
        return proxy.received(time_point(), body).size();
    };
    EXPECT_EQ(offer(granted), 1U);
    EXPECT_EQ(offer(withdrawn), 1U);
    EXPECT_EQ(offer(granted), 0U);
    EXPECT_EQ(proxy.holder().version(), withdrawn.version);
    EXPECT_EQ(key_ring(proxy.holder().document()).verify(shop, key.text), std::nullopt);
}

TEST(configuration_keys, aBodyThatIsNotValidIsNotPutInForce)
{
    configuration_holder holder;
    auto document = firstDocument();
    EXPECT_FALSE(holder.offer(2, serializeDocument(document))); // the body has version 1
    document.lists.plans.clear();
    EXPECT_FALSE(holder.offer(1, serializeDocument(document)));
    EXPECT_FALSE(holder.offer(1, "{"));
    EXPECT_EQ(holder.rejectedBodies(), 3U);
    EXPECT_EQ(holder.version(), 0U);
}

} // namespace
} // namespace sycamorespan::configuration
