// What OpenLDAP's client library gets through the daemon, bound by itself or spoken for by the service.
#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

TEST_F(Ldap, AClientBindsSearchesAndChangesAsItself) {
    start_with({&one}, false);
    client_does([&] {
        LdapClient client(edge());
        EXPECT_EQ(client.bind("uid=anna," + base, "anna-secret"), LDAP_SUCCESS);
        EXPECT_EQ(client.search("ou=people," + base), LDAP_SUCCESS);
        EXPECT_EQ(client.found.size(), 6u);
        EXPECT_EQ(client.who_am_i(), "dn:uid=anna," + base);
        EXPECT_EQ(client.modify("uid=u1,ou=people," + base), LDAP_SUCCESS);
        EXPECT_EQ(client.search("ou=nowhere," + base), LDAP_NO_SUCH_OBJECT) << "an answer, and no failure";
        EXPECT_EQ(client.bind("uid=anna," + base, "wrong"), LDAP_INVALID_CREDENTIALS);
        EXPECT_EQ(client.who_am_i(), "") << "whose bind has failed is nobody";
    });
    EXPECT_EQ(changes("uid=u1,ou=people," + base), 1);
    for (const auto& seen : one.seen) EXPECT_FALSE(seen.proxied);
}

TEST_F(Ldap, AClientIsSpokenForByTheService) {
    start_with({&one}, true);
    client_does([&] {
        LdapClient client(edge());
        EXPECT_EQ(client.who_am_i(), "");
        EXPECT_EQ(client.bind("uid=anna, " + base, "anna-secret"), LDAP_SUCCESS);
        EXPECT_EQ(client.search("ou=people," + base), LDAP_SUCCESS);
        EXPECT_EQ(client.found.size(), 6u);
        EXPECT_EQ(client.who_am_i(), "dn:uid=anna," + base);
        EXPECT_EQ(client.modify("uid=u1,ou=people," + base), LDAP_SUCCESS);
        EXPECT_EQ(client.bind("uid=berta," + base, "wrong"), LDAP_INVALID_CREDENTIALS);
        EXPECT_EQ(client.who_am_i(), "");
        EXPECT_EQ(client.bind("uid=berta," + base, ""), LDAP_UNWILLING_TO_PERFORM)
            << "a name without a password";
    });
    for (const auto& seen : one.seen) {
        if (seen.op == Op::modify) {
            EXPECT_TRUE(seen.proxied);
            EXPECT_EQ(seen.as, "uid=anna," + base);
        }
    }
}

// What a directory says of rights and comparisons is an answer: passed on as it is, once, and no failure.
TEST_F(Ldap, WhatTheDirectoryRefusesIsItsAnswer) {
    const std::string own = "uid=anna," + base, other = "uid=berta," + base;
    for (DirectoryServer* const server : servers())
        server->script = [&](const auto& seen) {
            DirectoryServer::Fault fault;
            const bool change = seen.op == Op::modify || seen.op == Op::remove || seen.op == Op::rename;
            if (change && seen.as != seen.dn) fault.code = LDAP_INSUFFICIENT_ACCESS;
            if (seen.op == Op::compare) fault.code = seen.dn == own ? LDAP_COMPARE_TRUE : LDAP_COMPARE_FALSE;
            return fault;
        };
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        const std::size_t before = seen(Op::modify) + seen(Op::remove) + seen(Op::rename);
        start_with({&one, &two, &three}, proxied);
        client_does([&] {
            LdapClient client(edge());
            EXPECT_EQ(client.bind(own, "anna-secret"), LDAP_SUCCESS);
            EXPECT_EQ(client.compare(own, "sn", "anna"), LDAP_COMPARE_TRUE);
            EXPECT_EQ(client.compare(other, "sn", "anna"), LDAP_COMPARE_FALSE);
            EXPECT_EQ(client.modify(own), LDAP_SUCCESS);
            EXPECT_EQ(client.modify(other), LDAP_INSUFFICIENT_ACCESS);
            EXPECT_EQ(client.remove(other), LDAP_INSUFFICIENT_ACCESS);
            EXPECT_EQ(client.rename(other, "uid=b"), LDAP_INSUFFICIENT_ACCESS);
        });
        EXPECT_EQ(seen(Op::modify) + seen(Op::remove) + seen(Op::rename), before + 4) << "each went once";
        daemon.reset();
    }
    EXPECT_EQ(changes(own), 2) << "one in each way of being somebody";
    EXPECT_EQ(changes(other), 0);
}

// Each lookup comes on a connection of its own, as command-line tools do it.
TEST_F(Ldap, LookupsHardlyNoticeAFrozenServer) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start_with({&one, &two}, proxied, "timeout = \"300ms\"");
        one.freeze();
        int good = 0;
        client_does([&] {
            const auto look = [&] {
                return LdapClient(edge()).search("ou=people," + base, LDAP_SCOPE_BASE) == LDAP_SUCCESS;
            };
            for (int i = 0; i < 12; ++i) look();  // those that meet it
            for (int i = 0; i < 10; ++i) good += look();
        });
        EXPECT_GE(good, 9);
        one.thaw();
        daemon.reset();
    }
}

}  // namespace
}  // namespace whinledge::test
