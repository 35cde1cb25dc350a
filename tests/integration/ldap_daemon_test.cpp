// LDAP in the daemon: routes to pools, limits, the drain at the end and reloads.
#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

TEST_F(Ldap, OperationsFindTheirPoolByNameKindAndIdentity) {
    const auto route = [&](const std::string& name, const std::string& pool, const std::string& more) {
        return ldap_route(name, pool, "timeout = \"2s\"", more);
    };
    start(ldap_listener() + ldap_pool("people", {&one}, true) +
          ldap_pool("groups", {&two}, true, "", "identities_from = [\"people\"]\n") +
          ldap_pool("strangers", {&three}, true) +
          route("people", "people", "suffixes = [\"" + base + "\"]\n") +
          route("groups", "groups", "suffixes = [\"OU=Groups, " + base + "\"]\noperations = [\"search\"]\n") +
          route("strangers", "strangers", "suffixes = [\"o=strange\"]\n") +
          route("nobody", "strangers",
                "suffixes = [\"" + base +
                    "\"]\nidentities = [\"anonymous\"]\noperations = [\"compare\", \"delete\"]\n"));
    RawClient& client = raw_ldap();
    const auto asked = [&](int id, const std::string& bytes, DirectoryServer& server) {
        const std::size_t before = server.seen.size();
        const auto got = ask_raw(client, id, bytes);
        return std::pair(got.code, server.seen.size() > before);
    };
    using Found = std::pair<std::int32_t, bool>;
    EXPECT_EQ(asked(1, RawLdap::search(1, "ou=people," + base), one), Found(0, true));
    EXPECT_EQ(asked(2, RawLdap::search(2, "cn=a,ou=groups," + base), two), Found(ldap::no_such_object, true));
    EXPECT_EQ(asked(3, RawLdap::modify(3, "cn=a,ou=groups," + base), one), Found(0, true))
        << "the route is for searches";
    EXPECT_EQ(asked(4, RawLdap::search(4, "o=elsewhere"), one), Found(ldap::no_such_object, false));
    EXPECT_EQ(asked(5, RawLdap::modify(5, "o=elsewhere"), one), Found(ldap::unwilling_to_perform, false));
    EXPECT_EQ(asked(6, RawLdap::modify(6, "no name"), one), Found(34, false));
    // Bound at one directory, it is known to the one that believes that, and to no other.
    ask_raw(client, 10, RawLdap::bind(10, "uid=anna," + base, "anna-secret"));
    EXPECT_EQ(asked(11, RawLdap::search(11, "cn=a,ou=groups," + base), two),
              Found(ldap::no_such_object, true));
    EXPECT_EQ(two.seen.back().as, "uid=anna," + base);
    EXPECT_EQ(asked(12, RawLdap::search(12, "o=strange"), three), Found(ldap::unwilling_to_perform, false));
}

TEST_F(Ldap, AFloodOnOnePoolLeavesTheOthersAlone) {
    one.script = [](const auto&) {
        DirectoryServer::Fault fault;
        fault.silent = true;
        return fault;
    };
    start(ldap_listener() + ldap_pool("people", {&one}, false, "limits.requests = { most = 4 }\n") +
          ldap_pool("groups", {&two}, false) +
          ldap_route("people", "people", "timeout = \"1s\"", "suffixes = [\"" + base + "\"]\n") +
          ldap_route("groups", "groups", "timeout = \"1s\"", "suffixes = [\"o=groups\"]\n"));
    two.add("o=groups");
    RawClient& flood = raw_ldap();
    for (int id = 1; id <= 20; ++id) flood.send(RawLdap::search(id, "ou=people," + base));
    until([&] { return has_final(flood, 20); });
    int refused = 0;
    for (int id = 1; id <= 20; ++id)
        if (has_final(flood, id)) refused += final_of(flood, id).code == ldap::busy;
    EXPECT_EQ(refused, 16);
    RawClient& client = raw_ldap();
    for (int id = 1; id <= 20; ++id)
        EXPECT_EQ(ask_raw(client, id, RawLdap::search(id, "o=groups")).code, ldap::success);
    until([&] { return open() == 0 && daemon->gate().open() == 0; });
}

TEST_F(Ldap, ADrainFinishesWhatIsOpenAndSaysGoodbye) {
    one.script = [](const auto& seen) {
        DirectoryServer::Fault fault;
        fault.delay_ms = seen.op == Op::modify ? 900 : 0;
        return fault;
    };
    start_with({&one}, true, "timeout = \"5s\"");
    RawClient& idle = raw_ldap();
    ask_raw(idle, 1, RawLdap::search(1, "uid=u1,ou=people," + base));
    RawClient& client = raw_ldap();
    client.send(RawLdap::modify(1, "cn=x," + base));
    until([&] { return one.count(Op::modify) == 1; });
    bool drained = false;
    daemon->drain([&] { drained = true; });
    until([&] { return idle.ended; });
    EXPECT_EQ(got(idle).back().oid, ldap::oid::notice_of_disconnection);
    EXPECT_EQ(ask_raw(client, 2, RawLdap::search(2, "uid=u1,ou=people," + base)).code, ldap::unavailable);
    until([&] { return drained; });
    EXPECT_EQ(final_of(client, 1).code, ldap::success);
    EXPECT_EQ(got(client).back().oid, ldap::oid::notice_of_disconnection);
}

TEST_F(Ldap, AReloadKeepsWhatDidNotChange) {
    const auto file = [&](const std::string& timeout) {
        return ldap_listener() + ldap_pool("people", {&one}, false) +
               ldap_route("all", "people", "timeout = \"" + timeout + "\"");
    };
    start(file("2s"));
    RawClient& client = raw_ldap();
    ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret"));
    one.script = [](const auto& seen) {
        DirectoryServer::Fault fault;
        fault.delay_ms = seen.op == Op::modify ? 100 : 0;
        return fault;
    };
    client.send(RawLdap::modify(2, "cn=x," + base));
    until([&] { return one.count(Op::modify) == 1; });
    reload(file("3s"));
    EXPECT_EQ(ask_raw(client, 3, RawLdap::search(3, "uid=u1,ou=people," + base)).code, ldap::success);
    EXPECT_EQ(one.seen.back().as, "uid=anna," + base);
    until([&] { return has_final(client, 2); });
    EXPECT_EQ(final_of(client, 2).code, ldap::success);
    EXPECT_EQ(changes("cn=x," + base), 1);
    EXPECT_EQ(one.connections.size(), 1u);
    // One that can't be had changes nothing.
    EXPECT_THROW(reload(ldap_listener() +
                        ldap_pool("people", {&one}, true, "",
                                  "tls = { mode = \"ldaps\", authority = \"/nowhere\" }\n") +
                        ldap_route("all", "people")),
                 std::runtime_error);
    EXPECT_EQ(ask_raw(client, 4, RawLdap::search(4, "uid=u1,ou=people," + base)).code, ldap::success);
}

}  // namespace
}  // namespace whinledge::test
