// TLS over bytes that somebody else carries: OpenSSL with buffers in memory, so that sockets, their waits and
// their bounds stay where they are. One context serves any number of sessions; all on the loop's thread.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "ldap_codec/bytes.hpp"

struct ssl_st;
struct ssl_ctx_st;

namespace whinledge::ldap {

struct TlsOptions {
    // A listener's: chain and key, PEM.
    std::string certificate, key;
    // Towards servers: who signs them, PEM; empty: those that the system trusts.
    std::string authority;
    int minimum = 12;  // 12 or 13, for TLS 1.2 and 1.3
    bool operator==(const TlsOptions&) const = default;
};

class TlsContext {
public:
    enum class Side { server, client };
    // Throws std::runtime_error where a file can't be used, with its name.
    TlsContext(Side side, const TlsOptions& options);
    ~TlsContext();
    TlsContext(const TlsContext&) = delete;
    TlsContext& operator=(const TlsContext&) = delete;

private:
    friend class TlsSession;
    Side side_;
    ssl_ctx_st* context_;
};

class TlsSession {
public:
    // A client checks that the server is who `name` says, a host's name or an address. Throws std::bad_alloc.
    TlsSession(std::shared_ptr<const TlsContext> context, const std::string& name = {});
    ~TlsSession();
    TlsSession(const TlsSession&) = delete;
    TlsSession& operator=(const TlsSession&) = delete;

    // What has come; what it means is appended to `plain`. Perhaps there is something to send afterwards.
    // False: the session is broken, and why() says how.
    bool take(std::string_view cipher, Bytes& plain);
    // Encrypts; only once up().
    bool put(std::string_view plain);
    // What is to be sent, appended.
    void drain(Bytes& cipher);
    // Both sides are known to each other.
    bool up() const { return up_; }
    // The other side has ended it in good order.
    bool ended() const { return ended_; }
    const std::string& why() const { return why_; }

private:
    bool shake();
    bool failed(const char* what, int result);

    std::shared_ptr<const TlsContext> context_;
    ssl_st* ssl_;
    bool up_ = false, ended_ = false;
    std::string why_;
};

}  // namespace whinledge::ldap
