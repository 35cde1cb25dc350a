// Changes in LDAP that may have run are not sent again, and are not called harmless.
#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

// Never sent again, and not called harmless.
void may_have_run(const RawLdap::Got& got) {
    EXPECT_EQ(got.code, ldap::other) << got.text;
    EXPECT_NE(got.text.find("may have run"), std::string::npos) << got.text;
}

TEST_F(Ldap, AModifyWhoseReplyBreaksOffIsNotSentAgain) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        for (DirectoryServer* const server : servers())
            server->script = [](const auto& seen) {
                DirectoryServer::Fault fault;
                fault.half = seen.op == Op::modify;
                return fault;
            };
        start_with({&one, &two, &three}, proxied);
        const std::string dn = "cn=half" + std::to_string(proxied) + "," + base;
        RawClient& client = raw_ldap();
        may_have_run(ask_raw(client, 1, RawLdap::modify(1, dn)));
        EXPECT_EQ(changes(dn), 1);
        forget_clients();
        daemon.reset();
    }
    EXPECT_EQ(seen(Op::modify), 2u);
}

TEST_F(Ldap, AModifyThatGotNoReplyIsNotSentAgain) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        const std::size_t before = seen(Op::modify);
        for (DirectoryServer* const server : servers())
            server->script = [](const auto& seen) {
                DirectoryServer::Fault fault;
                fault.close = seen.op == Op::modify;
                return fault;
            };
        start_with({&one, &two, &three}, proxied);
        may_have_run(ask_raw(raw_ldap(), 1, RawLdap::modify(1, "cn=x," + base)));
        EXPECT_EQ(seen(Op::modify), before + 1);
        forget_clients();
        daemon.reset();
    }
}

TEST_F(Ldap, AModifyThatRunsOutOfTimeIsNotSentAgain) {
    for (DirectoryServer* const server : servers())
        server->script = [](const auto& seen) {
            DirectoryServer::Fault fault;
            fault.silent = seen.op == Op::modify;
            return fault;
        };
    start_with({&one, &two}, true, "timeout = \"150ms\"");
    const auto got = ask_raw(raw_ldap(), 1, RawLdap::modify(1, "cn=x," + base));
    EXPECT_EQ(got.code, ldap::time_limit_exceeded);
    EXPECT_EQ(got.text, "failed: it may have run");
    EXPECT_EQ(seen(Op::modify), 1u);
}

// Larger than what kernels hold on the way: the server never has its last byte.
TEST_F(Ldap, AModifyThatBreaksBeforeItsLastByteGoesElsewhereOnce) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start(ldap_listener("ldap = { message_limit = \"64MiB\" }\n") +
              ldap_pool("people", {&one, &two}, proxied, "", "message_limit = \"64MiB\"\n") +
              ldap_route("all", "people", "timeout = \"20s\""));
        RawClient& client = raw_ldap();
        // Its connections are up, and bound where they have to be.
        if (proxied)
            for (int i = 1; i < 12; ++i) ask_raw(client, i, RawLdap::search(i, "ou=people," + base));
        const std::size_t at_one = one.connections.size(), at_two = two.connections.size();
        one.freeze();
        two.freeze();
        const std::string dn = "cn=large" + std::to_string(proxied) + "," + base;
        std::thread sender([&, bytes = RawLdap::modify(50, dn, 40 << 20)] { client.send(bytes); });
        DirectoryServer* hit = nullptr;
        // Whoever has bytes of it unread in the kernel.
        const auto waiting = [&](DirectoryServer& server) {
            for (const auto& c : server.connections) {
                boost::asio::socket_base::bytes_readable command(true);
                error_code failed;
                if (!c->ended) c->socket.io_control(command, failed);
                if (!c->ended && !failed && command.get() > 30000) return true;
            }
            return false;
        };
        until([&] {
            hit = waiting(one) ? &one : waiting(two) ? &two : nullptr;
            return hit != nullptr;
        });
        sender.join();
        rest(50);
        DirectoryServer& other = hit == &one ? two : one;
        other.thaw();
        for (const auto& c : hit->connections) {
            error_code ignored;
            c->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            c->socket.close(ignored);
            c->ended = true;
        }
        until([&] { return has_final(client, 50) || client.ended; });
        EXPECT_EQ(final_of(client, 50).code, ldap::success);
        EXPECT_EQ(changes(dn), 1);
        EXPECT_EQ(hit->changed.count(*ldap::normal_dn(dn)), 0u);
        hit->thaw();
        static_cast<void>(at_one), static_cast<void>(at_two);
        forget_clients();
        daemon.reset();
    }
}

}  // namespace
}  // namespace whinledge::test
