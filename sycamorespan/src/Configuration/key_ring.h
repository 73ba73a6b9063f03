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

/** \brief A new key: the text that is shown once, and the entry that is kept. */
struct granted_key
{
    std::string text; /**< IDENTIFIER.SECRET, what a caller presents */
    key_entry entry;

    bool operator==(const granted_key &) const = default;
};

/** \brief Makes a key of 32 random bytes and a salt of 16.
 * \param random  a cryptographic source
 */
granted_key generateKey(const random_source &random);

/** \returns \a document with \a entry granted to \a workspace.
 * \throws error if the workspace doesn't exist
 */
configuration_document withKeyGranted(configuration_document document,
                                      const workspace_id &workspace, const key_entry &entry);

/** \returns \a document without the key \a key of \a workspace.
 * \throws error if there is no such key
 */
configuration_document withKeyWithdrawn(configuration_document document,
                                        const workspace_id &workspace, const std::string &key);

/** \brief Verifies keys against the salted hashes of one document. Never keeps a secret. */
class key_ring
{
public:
    /** \param document  the document in force; null for none, then no key is valid */
    explicit key_ring(std::shared_ptr<const configuration_document> document);

    /** \brief Compares in constant time for all secrets of one length; an unknown workspace or
     * identifier takes as long as a wrong secret.
     * \param workspace  whose key it must be
     * \param presented  what the caller gave
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
