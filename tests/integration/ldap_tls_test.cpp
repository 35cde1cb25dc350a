// TLS on both sides, and credentials: who is let in, whose certificate counts, and what stays in memory.
#include <sys/prctl.h>
#include <sys/wait.h>

#include "rig/certificates.hpp"
#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

struct LdapTls : LdapRig {
    const std::string at = "/tmp/whinledge-tls-" + std::to_string(::getpid());
    const std::string authority_file = at + ".ca", certificate = at + ".crt", key = at + ".key";
    Authority authority, stranger;

    LdapTls() {
        authority.write(authority_file);
        authority.issue(certificate, key, "IP:127.0.0.1,DNS:dir.example.org");
    }
    ~LdapTls() override {
        for (const std::string& file : {authority_file, certificate, key}) std::remove(file.c_str());
    }
    void serve_tls(DirectoryServer& server, bool ldaps) {
        server.tls = std::make_shared<const ldap::TlsContext>(ldap::TlsContext::Side::server,
                                                              ldap::TlsOptions{certificate, key, {}, 12});
        server.ldaps = ldaps;
    }
    std::string listener_tls(const std::string& mode, const std::string& more = "") {
        return "ldap = { tls = { mode = \"" + mode + "\", certificate = \"" + certificate + "\", key = \"" +
               key + "\"" + more + " } }\n";
    }
    std::string pool_tls(const std::string& mode, const std::string& more = "") {
        return "tls = { mode = \"" + mode + "\", authority = \"" + authority_file + "\"" + more + " }\n";
    }
    // The library's settings for a client that trusts the authority.
    void trust(LdapClient& client, const std::string& file = "") {
        const std::string& ca = file.empty() ? authority_file : file;
        const int demand = LDAP_OPT_X_TLS_DEMAND, client_side = 0;
        ::ldap_set_option(client.handle(), LDAP_OPT_X_TLS_CACERTFILE, ca.c_str());
        ::ldap_set_option(client.handle(), LDAP_OPT_X_TLS_REQUIRE_CERT, &demand);
        ::ldap_set_option(client.handle(), LDAP_OPT_X_TLS_NEWCTX, &client_side);
    }
};

TEST_F(LdapTls, ClientsComeByLdapsAndServersAreReachedByIt) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        serve_tls(one, true);
        start(ldap_listener(listener_tls("ldaps")) +
              ldap_pool("people", {&one}, proxied, "", pool_tls("ldaps")) + ldap_route("all", "people"));
        client_does([&] {
            LdapClient client(edge(), "ldaps");
            trust(client);
            EXPECT_EQ(client.bind("uid=anna," + base, "anna-secret"), LDAP_SUCCESS) << client.diagnostic();
            for (int i = 0; i < 20; ++i) {
                EXPECT_EQ(client.search("ou=people," + base), LDAP_SUCCESS);
                EXPECT_EQ(client.found.size(), 6u);
            }
            EXPECT_EQ(client.who_am_i(), "dn:uid=anna," + base);
        });
        for (const auto& c : one.connections) EXPECT_TRUE(c->tls && c->tls->up());
        daemon.reset();
        one.connections.clear();
    }
}

TEST_F(LdapTls, StartTlsWorksOnBothSides) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        serve_tls(one, false);
        start(ldap_listener(listener_tls("starttls", ", required = true")) +
              ldap_pool("people", {&one}, proxied, "", pool_tls("starttls", ", minimum = \"1.3\"")) +
              ldap_route("all", "people"));
        client_does([&] {
            LdapClient client(edge());
            trust(client);
            EXPECT_EQ(client.search("ou=people," + base), LDAP_CONFIDENTIALITY_REQUIRED);
            EXPECT_EQ(::ldap_start_tls_s(client.handle(), nullptr, nullptr), LDAP_SUCCESS)
                << client.diagnostic();
            EXPECT_EQ(client.bind("uid=anna," + base, "anna-secret"), LDAP_SUCCESS) << client.diagnostic();
            EXPECT_EQ(client.search("ou=people," + base), LDAP_SUCCESS);
            EXPECT_NE(::ldap_start_tls_s(client.handle(), nullptr, nullptr), LDAP_SUCCESS) << "once";
        });
        for (const auto& seen : one.seen) {
            if (seen.op == Op::bind) {
                EXPECT_TRUE(one.connections[seen.connection]->tls.has_value()) << "no password in clear";
            }
        }
        daemon.reset();
        one.connections.clear();
        one.seen.clear();
    }
}

// One that names somebody else, is signed by nobody we know, or is too old: nothing is sent there.
TEST_F(LdapTls, AServerThatIsNotWhoItShouldBeGetsNothing) {
    const std::string other_ca = at + ".other";
    stranger.write(other_ca);
    struct Case {
        const char* name;
        std::string tls, names;
        long days;
        bool good;
    };
    const std::vector<Case> cases{
        {"the address", pool_tls("ldaps"), "IP:127.0.0.1", 1, true},
        {"a name", pool_tls("ldaps", ", name = \"dir.example.org\""), "DNS:dir.example.org", 1, true},
        {"a wildcard", pool_tls("ldaps", ", name = \"dir.example.org\""), "DNS:*.example.org", 1, true},
        {"another name", pool_tls("ldaps", ", name = \"dir.example.org\""), "DNS:other.example.org", 1,
         false},
        {"another address", pool_tls("ldaps"), "IP:127.0.0.2", 1, false},
        {"a name in place of the address", pool_tls("ldaps"), "DNS:dir.example.org", 1, false},
        {"one that has run out", pool_tls("ldaps"), "IP:127.0.0.1", -1, false},
        {"another authority", "tls = { mode = \"ldaps\", authority = \"" + other_ca + "\" }\n",
         "IP:127.0.0.1", 1, false},
        {"in clear", "tls = { mode = \"starttls\", authority = \"" + authority_file + "\" }\n",
         "IP:127.0.0.1", 1, false},
    };
    for (const bool proxied : {true, false})
        for (const Case& c : cases) {
            SCOPED_TRACE(c.name);
            authority.issue(certificate, key, c.names, c.days);
            DirectoryServer server(io);
            server.add("ou=people," + base);
            server.passwords = one.passwords;
            serve_tls(server, true);
            if (std::string_view(c.name) == "in clear") {
                server.ldaps = false;
                server.tls = nullptr;  // it refuses StartTLS
            }
            start(ldap_listener() + ldap_pool("people", {&server}, proxied, "", c.tls) +
                  ldap_route("all", "people", "timeout = \"500ms\""));
            RawClient& client = raw_ldap();
            const auto got = ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret"));
            EXPECT_EQ(got.code == ldap::success, c.good) << got.text;
            if (!c.good) {
                EXPECT_TRUE(got.code == ldap::busy || got.code == ldap::time_limit_exceeded) << got.code;
                EXPECT_EQ(server.count(Op::bind), 0u) << "no password went there";
            }
            forget_clients();
            daemon.reset();
        }
    std::remove(other_ca.c_str());
}

TEST_F(LdapTls, BytesBehindStartTlsAreNobodys) {
    start(ldap_listener(listener_tls("starttls")) + ldap_pool("people", {&one}, true) +
          ldap_route("all", "people"));
    RawClient& client = raw_ldap();
    client.send(RawLdap::extended(1, ldap::oid::start_tls) + RawLdap::modify(2, "cn=injected," + base));
    until([&] { return client.ended; });
    EXPECT_EQ(got(client).back().code, ldap::protocol_error);
    EXPECT_EQ(seen(Op::modify), 0u);
    // Without TLS at the listener it is refused, and the connection goes on.
    daemon.reset();
    forget_clients();
    start_with({&one}, true);
    RawClient& plain = raw_ldap();
    EXPECT_EQ(ask_raw(plain, 1, RawLdap::extended(1, ldap::oid::start_tls)).code, ldap::protocol_error);
    EXPECT_EQ(ask_raw(plain, 2, RawLdap::search(2, "ou=people," + base)).code, ldap::success);
}

TEST_F(LdapTls, WhatIsNoTlsIsEnded) {
    start(ldap_listener(listener_tls("ldaps") + "head_timeout = \"200ms\"\n") +
          ldap_pool("people", {&one}, true) + ldap_route("all", "people"));
    RawClient& clear = raw_ldap();
    clear.send(RawLdap::search(1, "ou=people," + base));
    RawClient& silent = raw_ldap();
    until([&] { return clear.ended && silent.ended; });
    EXPECT_EQ(one.seen.size(), 0u);
}

TEST_F(LdapTls, ACertificateIsReadAnewByAReload) {
    const std::string file = ldap_listener(listener_tls("ldaps")) + ldap_pool("people", {&one}, true) +
                             ldap_route("all", "people");
    start(file);
    stranger.issue(certificate, key, "IP:127.0.0.1");
    const std::string other_ca = at + ".other";
    stranger.write(other_ca);
    const auto works = [&](const std::string& ca) {
        int code = -1;
        client_does([&] {
            LdapClient client(edge(), "ldaps");
            trust(client, ca);
            code = client.search("ou=people," + base);
        });
        return code == LDAP_SUCCESS;
    };
    EXPECT_TRUE(works(authority_file));
    reload(file);
    EXPECT_TRUE(works(other_ca));
    EXPECT_FALSE(works(authority_file));
    // A key that is not its own: the old ones stay.
    authority.issue(certificate, at + ".ignored", "IP:127.0.0.1");
    EXPECT_THROW(reload(file), std::runtime_error);
    EXPECT_TRUE(works(other_ca));
    std::remove(other_ca.c_str());
    std::remove((at + ".ignored").c_str());
}

// ---- Credentials

// How often the text stands in the memory that a process may write.
std::size_t occurrences(pid_t process, const std::string& text) {
    std::ifstream maps("/proc/" + std::to_string(process) + "/maps");
    std::ifstream memory("/proc/" + std::to_string(process) + "/mem", std::ios::binary);
    std::size_t count = 0;
    for (std::string line; std::getline(maps, line);) {
        unsigned long from = 0, to = 0;
        char rights[5] = {};
        if (std::sscanf(line.c_str(), "%lx-%lx %4s", &from, &to, rights) != 3 || rights[1] != 'w') continue;
        std::string bytes(to - from, '\0');
        memory.clear();
        memory.seekg(static_cast<std::streamoff>(from));
        memory.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        bytes.resize(static_cast<std::size_t>(std::max<std::streamsize>(0, memory.gcount())));
        for (std::size_t at = bytes.find(text); at != bytes.npos; at = bytes.find(text, at + 1)) ++count;
    }
    return count;
}

// Ended with its test, however that ends.
struct Child {
    explicit Child(const std::string& file) : id(::fork()) {
        if (id != 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::execl(WHINLEDGE, WHINLEDGE, "--config", file.c_str(), nullptr);
        ::_exit(127);
    }
    ~Child() {
        if (ended) return;
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
    }
    int end() {
        int status = 0;
        ::kill(id, SIGTERM);
        ::waitpid(id, &status, 0);
        ended = true;
        return status;
    }
    const pid_t id;
    bool ended = false;
};

// The program as it is run, in a process of its own: once its bind is over, a password stands nowhere.
TEST_F(LdapTls, APasswordIsNotKept) {
#ifdef __SANITIZE_ADDRESS__
    GTEST_SKIP() << "the sanitizer keeps what is freed, and terabytes beside it";
#endif
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        const std::string file = at + ".toml",
                          secret = "correct-horse-battery-staple-" + std::to_string(::getpid());
        one.passwords["uid=carla," + base] = secret;
        std::ofstream(file) << ldap_listener() + ldap_pool("people", {&one}, proxied) +
                                   ldap_route("all", "people");
        Child child(file);
        const auto address = endpoint_of<Tcp>(listen);
        std::optional<RawClient> client;
        until([&] {
            try {
                client.emplace(io, address);
            } catch (const boost::system::system_error&) {  // not listening yet
            }
            return client.has_value();
        });
        EXPECT_EQ(ask_raw(*client, 1, RawLdap::bind(1, "uid=carla," + base, secret)).code, ldap::success);
        EXPECT_EQ(ask_raw(*client, 2, RawLdap::bind(2, "uid=carla," + base, secret + "x")).code,
                  ldap::invalid_credentials);
        EXPECT_EQ(ask_raw(*client, 3, RawLdap::search(3, "ou=people," + base)).code, ldap::success);
        EXPECT_GT(occurrences(child.id, "uid=anna") + occurrences(child.id, "ou=people"), 0u)
            << "the look itself works";
        EXPECT_EQ(occurrences(child.id, secret), 0u);
        client.reset();
        EXPECT_EQ(child.end(), 0);
        std::remove(file.c_str());
    }
}

TEST_F(LdapTls, NothingOfABindIsLogged) {
    one.script = [](const auto& seen) {
        DirectoryServer::Fault fault;
        if (seen.op == Op::bind) fault.raw = "nonsense";
        return fault;
    };
    start_with({&one}, true);
    RawClient& client = raw_ldap();
    ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret"));
    client.send("nonsense");
    until([&] { return client.ended; });
    const std::string all = logged();
    EXPECT_FALSE(all.empty());
    for (const char* const word : {"secret", "anna", "uid="}) EXPECT_EQ(all.find(word), all.npos) << all;
}

}  // namespace
}  // namespace whinledge::test
