#include "ldap/tls.hpp"

#include <arpa/inet.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <array>
#include <new>
#include <stdexcept>

namespace whinledge::ldap {

namespace {

std::string last_error() {
    const unsigned long error = ::ERR_get_error();
    if (error == 0) return "unknown";
    const char* const reason = ::ERR_reason_error_string(error);
    ::ERR_clear_error();
    return reason ? reason : "unknown";
}
void need(int done, const std::string& what) {
    if (done != 1) throw std::runtime_error(what + ": " + last_error());
}
bool is_address(const std::string& name) {
    std::array<unsigned char, 16> ignored{};
    return ::inet_pton(AF_INET, name.c_str(), ignored.data()) == 1 ||
           ::inet_pton(AF_INET6, name.c_str(), ignored.data()) == 1;
}

}  // namespace

TlsContext::TlsContext(Side side, const TlsOptions& options)
    : side_(side),
      context_(::SSL_CTX_new(side == Side::server ? ::TLS_server_method() : ::TLS_client_method())) {
    if (!context_) throw std::bad_alloc();
    try {
        need(static_cast<int>(::SSL_CTX_set_min_proto_version(
                 context_, options.minimum >= 13 ? TLS1_3_VERSION : TLS1_2_VERSION)),
             "the minimum version");
        ::SSL_CTX_set_options(context_, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION);
        // Idle connections hold no buffers.
        ::SSL_CTX_set_mode(context_, SSL_MODE_RELEASE_BUFFERS | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
        if (side == Side::server) {
            need(::SSL_CTX_use_certificate_chain_file(context_, options.certificate.c_str()),
                 options.certificate);
            need(::SSL_CTX_use_PrivateKey_file(context_, options.key.c_str(), SSL_FILETYPE_PEM), options.key);
            need(::SSL_CTX_check_private_key(context_), options.key);
        } else {
            ::SSL_CTX_set_verify(context_, SSL_VERIFY_PEER, nullptr);
            if (options.authority.empty())
                need(::SSL_CTX_set_default_verify_paths(context_), "the system's authorities");
            else
                need(::SSL_CTX_load_verify_locations(context_, options.authority.c_str(), nullptr),
                     options.authority);
        }
    } catch (...) {
        ::SSL_CTX_free(context_);
        throw;
    }
}
TlsContext::~TlsContext() { ::SSL_CTX_free(context_); }

TlsSession::TlsSession(std::shared_ptr<const TlsContext> context, const std::string& name)
    : context_(std::move(context)), ssl_(::SSL_new(context_->context_)) {
    if (!ssl_) throw std::bad_alloc();
    BIO* const in = ::BIO_new(::BIO_s_mem());
    BIO* const out = ::BIO_new(::BIO_s_mem());
    if (!in || !out) {
        ::BIO_free(in);
        ::BIO_free(out);
        ::SSL_free(ssl_);
        throw std::bad_alloc();
    }
    ::SSL_set_bio(ssl_, in, out);  // they are its own now
    if (context_->side_ == TlsContext::Side::server) {
        ::SSL_set_accept_state(ssl_);
        return;
    }
    ::SSL_set_connect_state(ssl_);
    ::X509_VERIFY_PARAM* const check = ::SSL_get0_param(ssl_);
    ::X509_VERIFY_PARAM_set_hostflags(check, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
    if (is_address(name)) {
        ::X509_VERIFY_PARAM_set1_ip_asc(check, name.c_str());
    } else {
        ::X509_VERIFY_PARAM_set1_host(check, name.data(), name.size());
        ::SSL_set_tlsext_host_name(ssl_, name.c_str());
    }
    shake();
}
TlsSession::~TlsSession() { ::SSL_free(ssl_); }

bool TlsSession::failed(const char* what, int result) {
    const int error = ::SSL_get_error(ssl_, result);
    if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) return false;
    if (error == SSL_ERROR_ZERO_RETURN) {
        ended_ = true;
        return false;
    }
    const long verified = ::SSL_get_verify_result(ssl_);
    why_ = std::string(what) + ": " +
           (verified != X509_V_OK ? ::X509_verify_cert_error_string(verified) : last_error());
    ::ERR_clear_error();
    return true;
}

// False: broken.
bool TlsSession::shake() {
    if (up_) return true;
    ::ERR_clear_error();
    const int done = ::SSL_do_handshake(ssl_);
    if (done == 1) return up_ = true;
    return !failed("the handshake", done);
}

bool TlsSession::take(std::string_view cipher, Bytes& plain) {
    if (!why_.empty()) return false;
    for (;;) {
        if (!cipher.empty()) {
            const int took =
                ::BIO_write(::SSL_get_rbio(ssl_), cipher.data(), static_cast<int>(cipher.size()));
            if (took <= 0) return why_ = "no memory", false;
            cipher.remove_prefix(static_cast<std::size_t>(took));
        }
        if (!shake()) return false;
        if (!up_) {
            if (cipher.empty()) return true;
            continue;
        }
        std::array<char, 4096> part;
        int size = 0;
        while (::ERR_clear_error(), (size = ::SSL_read(ssl_, part.data(), part.size())) > 0)
            plain.append(part.data(), static_cast<std::size_t>(size));
        ::explicit_bzero(part.data(), part.size());
        if (failed("reading", size)) return false;
        if (cipher.empty()) return true;
    }
}

bool TlsSession::put(std::string_view plain) {
    while (!plain.empty()) {
        ::ERR_clear_error();
        const int size = ::SSL_write(ssl_, plain.data(), static_cast<int>(plain.size()));
        if (size <= 0) {
            if (!failed("writing", size)) why_ = "writing: the other side has to be heard first";
            return false;
        }
        plain.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

void TlsSession::drain(Bytes& cipher) {
    BIO* const out = ::SSL_get_wbio(ssl_);
    std::array<char, 4096> part;
    for (int size = 0; (size = ::BIO_read(out, part.data(), part.size())) > 0;)
        cipher.append(part.data(), static_cast<std::size_t>(size));
}

}  // namespace whinledge::ldap
