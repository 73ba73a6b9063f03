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
    /** \param certificate  path of a PEM file with the chain
     * \param privateKey  path of a PEM file
     * \throws error that names the file and OpenSSL's reason
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

/** \brief The server's side of one TLS connection, between buffers: it owns no socket. */
class tls_channel
{
public:
    explicit tls_channel(const tls_context &context);

    /** \brief Takes bytes from the network.
     * \returns the plain text that they complete
     * \throws error when the peer breaks the protocol
     */
    std::string receive(std::string_view bytes);

    /** \brief Queues plain text; before the handshake has ended it waits. */
    void send(std::string_view plainText);

    /** \returns what has to be written to the network now. */
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
    std::string m_pending;
};

} // namespace sycamorespan

#endif
