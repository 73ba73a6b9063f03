#include "sycamorespan/src/Net/tls_channel.h"

#include <array>
#include <utility>

#include <openssl/err.h>

#include "sycamorespan/src/Core/error.h"

namespace sycamorespan {
namespace {

constexpr std::size_t readChunkBytes = 16384;

error opensslError(const std::string &subject)
{
    const char *reason = ERR_reason_error_string(ERR_get_error());
    ERR_clear_error();
    return error(subject + ": " + (reason == nullptr ? "unknown reason" : reason));
}

bool needsMoreIo(const SSL *session, int result)
{
    const int code = SSL_get_error(session, result);
    return code == SSL_ERROR_WANT_READ || code == SSL_ERROR_WANT_WRITE;
}

} // namespace

tls_context::tls_context(const std::string &certificate, const std::string &privateKey)
    : m_context(SSL_CTX_new(TLS_server_method()))
{
    if (!m_context)
        throw opensslError("cannot create TLS context");
    SSL_CTX_set_min_proto_version(m_context.get(), TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(m_context.get(), certificate.c_str()) != 1)
        throw opensslError(certificate);
    if (SSL_CTX_use_PrivateKey_file(m_context.get(), privateKey.c_str(), SSL_FILETYPE_PEM) != 1)
        throw opensslError(privateKey);
    if (SSL_CTX_check_private_key(m_context.get()) != 1)
        throw opensslError(privateKey);
}

tls_channel::tls_channel(const tls_context &context)
    : m_session(SSL_new(context.get()))
    , m_input(BIO_new(BIO_s_mem()))
    , m_output(BIO_new(BIO_s_mem()))
{
    SSL_set_bio(m_session.get(), m_input, m_output);
    SSL_set_accept_state(m_session.get());
}

std::string tls_channel::receive(std::string_view bytes)
{
    BIO_write(m_input, bytes.data(), static_cast<int>(bytes.size()));
    std::string plainText;
    std::array<char, readChunkBytes> chunk; // NOLINT: filled by SSL_read
    ERR_clear_error();
    for (;;) {
        const int count = SSL_read(m_session.get(), chunk.data(), static_cast<int>(chunk.size()));
        if (count > 0) {
            plainText.append(chunk.data(), static_cast<std::size_t>(count));
            continue;
        }
        const bool isEnd = SSL_get_error(m_session.get(), count) == SSL_ERROR_ZERO_RETURN;
        if (!isEnd && !needsMoreIo(m_session.get(), count))
            throw opensslError("TLS receive failed");
        break;
    }
    sendPending();
    return plainText;
}

void tls_channel::send(std::string_view plainText)
{
    m_pendingPlainText.append(plainText);
    sendPending();
}

std::string tls_channel::takeOutput()
{
    std::string bytes(BIO_ctrl_pending(m_output), '\0');
    if (!bytes.empty())
        BIO_read(m_output, bytes.data(), static_cast<int>(bytes.size()));
    return bytes;
}

void tls_channel::sendPending()
{
    if (m_pendingPlainText.empty() || SSL_is_init_finished(m_session.get()) != 1)
        return;
    ERR_clear_error();
    const int count = SSL_write(m_session.get(), m_pendingPlainText.data(),
                                static_cast<int>(m_pendingPlainText.size()));
    if (count > 0)
        m_pendingPlainText.erase(0, static_cast<std::size_t>(count));
    else if (!needsMoreIo(m_session.get(), count))
        throw opensslError("TLS send failed");
}

} // namespace sycamorespan
