#include "sycamorespan/src/Configuration/key_ring.h"

#include "sycamorespan/src/Configuration/internal/hexadecimal.h"
#include "sycamorespan/src/Core/error.h"

#include <algorithm>
#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace sycamorespan::configuration {

namespace {

constexpr std::size_t secretBytes = 32;
constexpr std::size_t saltBytes = 16;
constexpr std::size_t identifierBytes = 6;
constexpr char separator = '.';

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

digest hashSecret(std::string_view secret, std::string_view hexadecimalSalt)
{
    const auto salt = internal::fromHexadecimal(hexadecimalSalt);
    digest result{};
    HMAC(EVP_sha256(), salt.data(), static_cast<int>(salt.size()),
         reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), result.data(),
         nullptr);
    return result;
}

std::string randomHexadecimal(const random_source &random, std::size_t count)
{
    std::vector<unsigned char> bytes(count);
    std::ranges::generate(bytes, [&random] { return static_cast<unsigned char>(random()); });
    return internal::toHexadecimal(bytes);
}

const key_entry &placeholderKey()
{
    static const key_entry entry{"", std::string(2 * saltBytes, '0'),
                                 std::string(std::size_t{2} * SHA256_DIGEST_LENGTH, '0')};
    return entry;
}

} // namespace

granted_key generateKey(const random_source &random)
{
    const auto secret = randomHexadecimal(random, secretBytes);
    key_entry entry{
            randomHexadecimal(random, identifierBytes), randomHexadecimal(random, saltBytes), {}};
    entry.hash = internal::toHexadecimal(hashSecret(secret, entry.salt));
    return {entry.key + separator + secret, entry};
}

configuration_document withKeyGranted(configuration_document document,
                                      const workspace_id &workspace, const key_entry &entry)
{
    if (!document.lists.workspaces.contains(workspace))
        throw error("unknown workspace '" + workspace.str() + "'");
    document.keys[workspace].push_back(entry);
    return document;
}

configuration_document withKeyWithdrawn(configuration_document document,
                                        const workspace_id &workspace, const std::string &key)
{
    const auto found = document.keys.find(workspace);
    const auto removed = found == document.keys.end()
                                 ? 0
                                 : std::erase_if(found->second, [&key](const auto &entry) {
                                       return entry.key == key;
                                   });
    if (removed == 0)
        throw error("workspace '" + workspace.str() + "' has no key '" + key + "'");
    if (found->second.empty())
        document.keys.erase(found);
    return document;
}

key_ring::key_ring(std::shared_ptr<const configuration_document> document)
    : m_document(std::move(document))
{ }

std::optional<std::string> key_ring::verify(const workspace_id &workspace,
                                            std::string_view presented) const
{
    const auto end = std::min(presented.find(separator), presented.size());
    const auto identifier = presented.substr(0, end);
    const auto secret = presented.substr(std::min(end + 1, presented.size()));
    const auto *const found = find(workspace, identifier);
    const auto &entry = found ? *found : placeholderKey();
    const auto expected = internal::fromHexadecimal(entry.hash);
    const auto actual = hashSecret(secret, entry.salt);
    const bool isEqual = CRYPTO_memcmp(actual.data(), expected.data(), actual.size()) == 0;
    if (!found || !isEqual)
        return std::nullopt;
    return entry.key;
}

bool key_ring::isGranted(const workspace_id &workspace, const std::string &key) const
{
    return find(workspace, key) != nullptr;
}

const key_entry *key_ring::find(const workspace_id &workspace, std::string_view key) const
{
    if (!m_document)
        return nullptr;
    const auto keys = m_document->keys.find(workspace);
    if (keys == m_document->keys.end())
        return nullptr;
    const auto found = std::ranges::find(keys->second, key, &key_entry::key);
    return found == keys->second.end() ? nullptr : &*found;
}

} // namespace sycamorespan::configuration
