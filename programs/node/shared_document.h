#ifndef SYCAMORESPAN_PROGRAMS_NODE_SHARED_DOCUMENT_H
#define SYCAMORESPAN_PROGRAMS_NODE_SHARED_DOCUMENT_H

#include "sycamorespan/src/Net/compression.h"

#include <functional>
#include <string>
#include <utility>

namespace sycamorespan::node {

/** \brief A document that other instances fetch in compressed form. It is compressed once while its
 * text does not change, as many instances fetch the same version.
 */
class shared_document
{
public:
    /** \param text  returns the present text */
    explicit shared_document(std::function<std::string()> text)
        : m_text(std::move(text))
    { }

    /** \returns the compressed text. */
    const std::string &compressed()
    {
        auto text = m_text();
        if (m_compressed.empty() || text != m_compressedText) {
            m_compressed = compress(text);
            m_compressedText = std::move(text);
        }
        return m_compressed;
    }

private:
    std::function<std::string()> m_text;
    std::string m_compressedText; ///< text of m_compressed
    std::string m_compressed;
};

} // namespace sycamorespan::node

#endif
