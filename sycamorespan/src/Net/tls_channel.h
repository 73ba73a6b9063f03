#ifndef SYCAMORESPAN_NET_TLS_CHANNEL_H
#define SYCAMORESPAN_NET_TLS_CHANNEL_H

#include <memory>
#include <string>
#include <string_view>

#include <openssl/ssl.h>

namespace sycamorespan {

/** \brief Certificate and private key of a TLS server. */
class tls_context
{
public:
    /** \param certificate  path of a PEM file with the certificate chain
     * \param privateKey   path of a PEM file
     * \throws error that names the file and the reason that OpenSSL reports
     */
    tls_context(const std::string &certificate, const std::string &privateKey);

    SSL_CTX *get() const noexcept { return m_context.get(); }

private:
    struct deleter
    {
        void operator()(SSL_CTX *context) const { SSL_CTX_free(context); }
    };
    std::unique_ptr<SSL_CTX, deleter> m_context;
};

/** \brief Server side of one TLS connection. It works on memory buffers and owns no socket. */
class tls_channel
{
public:
    explicit tls_channel(const tls_context &context);

    /** \brief Processes \a bytes received from the network.
     * \returns the plain text that can be decrypted so far and was not yet returned
     * \throws error if the peer violates the TLS protocol
     */
    std::string receive(std::string_view bytes);

    /** \brief Encrypts \a plainText for sending. It is queued until the handshake has finished. */
    void send(std::string_view plainText);

    /** \returns the bytes to write to the network, and removes them from the channel. */
    std::string takeOutput();

private:
    struct deleter
    {
        void operator()(SSL *session) const { SSL_free(session); }
    };

    void sendPending();

    std::unique_ptr<SSL, deleter> m_session;
    BIO *m_input; ///< owned by the session
    BIO *m_output; ///< owned by the session
    std::string m_pendingPlainText;
};

} // namespace sycamorespan

#endif
