#ifndef SYCAMORESPAN_CONFIGURATION_KEY_RING_H
#define SYCAMORESPAN_CONFIGURATION_KEY_RING_H

#include "sycamorespan/src/Configuration/configuration_document.h"
#include "sycamorespan/src/Core/random_source.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan::configuration {

/** \brief A new key: the text, which is shown only once, and the entry, which is stored. */
struct granted_key
{
    std::string text; /**< IDENTIFIER.SECRET, which a caller presents */
    key_entry entry;

    bool operator==(const granted_key &) const = default;
};

/** \brief Generates a key with a secret of 32 random bytes and a salt of 16 random bytes.
 * \param random  a cryptographically secure source
 */
granted_key generateKey(const random_source &random);

/** \returns \a document with \a entry granted to \a workspace.
 * \throws error if \a document has no such workspace
 */
configuration_document withKeyGranted(configuration_document document,
                                      const workspace_id &workspace, const key_entry &entry);

/** \returns \a document without the key \a key of \a workspace.
 * \throws error if the workspace has no such key
 */
configuration_document withKeyWithdrawn(configuration_document document,
                                        const workspace_id &workspace, const std::string &key);

/** \brief Verifies keys against the salted hashes in one document. It stores no secrets. */
class key_ring
{
public:
    /** \param document  the document in force; if it is null, no key is valid */
    explicit key_ring(std::shared_ptr<const configuration_document> document);

    /** \brief Verifies a key, with a comparison in constant time for all secrets of one length. An
     * unknown workspace or identifier takes as long as a wrong secret.
     * \param workspace  workspace that the key must be granted to
     * \param presented  text that the caller presented
     * \returns the identifier of the key if it is granted to \a workspace
     */
    std::optional<std::string> verify(const workspace_id &workspace,
                                      std::string_view presented) const;

    /** \returns whether the key \a key is still granted to \a workspace. */
    bool isGranted(const workspace_id &workspace, const std::string &key) const;

private:
    const key_entry *find(const workspace_id &workspace, std::string_view key) const;

    std::shared_ptr<const configuration_document> m_document;
};

} // namespace sycamorespan::configuration

#endif
