// What stays at one directory server: paged results, persistent searches and transactions.
#include <set>

#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

TEST_F(Ldap, PagedResultsGoOnWhereTheyBegan) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start_with({&one, &two, &three}, proxied);
        client_does([&] {
            for (int round = 0; round < 10; ++round) {
                LdapClient client(edge());
                ASSERT_EQ(client.bind("uid=anna," + base, "anna-secret"), LDAP_SUCCESS);
                berval* cookie = nullptr;
                std::set<std::string> names;
                int pages = 0;
                for (;; ++pages) {
                    LDAPControl* control = nullptr;
                    ::ldap_create_page_control(client.handle(), 2, cookie, 'T', &control);
                    LDAPControl* controls[] = {control, nullptr};
                    LDAPMessage* all = nullptr;
                    ASSERT_EQ(::ldap_search_ext_s(client.handle(), ("ou=people," + base).c_str(),
                                                  LDAP_SCOPE_SUBTREE, "(objectClass=*)", nullptr, 0, controls,
                                                  nullptr, nullptr, 0, &all),
                              LDAP_SUCCESS)
                        << client.diagnostic();
                    ::ldap_control_free(control);
                    for (auto* e = ::ldap_first_entry(client.handle(), all); e;
                         e = ::ldap_next_entry(client.handle(), e)) {
                        char* const dn = ::ldap_get_dn(client.handle(), e);
                        EXPECT_TRUE(names.insert(dn).second) << dn;
                        ::ldap_memfree(dn);
                    }
                    LDAPControl** back = nullptr;
                    int code = 0;
                    ::ldap_parse_result(client.handle(), all, &code, nullptr, nullptr, nullptr, &back, 1);
                    if (cookie) ::ber_bvfree(cookie);
                    cookie = static_cast<berval*>(::ber_memcalloc(1, sizeof(berval)));
                    ber_int_t estimate = 0;
                    ASSERT_EQ(
                        ::ldap_parse_pageresponse_control(
                            client.handle(), ::ldap_control_find(LDAP_CONTROL_PAGEDRESULTS, back, nullptr),
                            &estimate, cookie),
                        LDAP_SUCCESS);
                    ::ldap_controls_free(back);
                    // Others meanwhile.
                    LdapClient other(edge());
                    EXPECT_EQ(other.search("uid=u1,ou=people," + base, LDAP_SCOPE_BASE), LDAP_SUCCESS);
                    if (cookie->bv_len == 0) break;
                }
                ::ber_bvfree(cookie);
                EXPECT_EQ(names.size(), 6u);
                EXPECT_EQ(pages, 2);
            }
        });
        daemon.reset();
    }
}

TEST_F(Ldap, APagedSearchWhoseServerGoesSaysSo) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start_with({&one}, proxied);
        RawClient& client = raw_ldap();
        EXPECT_EQ(ask_raw(client, 1, RawLdap::search(1, "ou=people," + base, 0, RawLdap::paged(2, ""))).code,
                  ldap::success);
        for (const auto& c : one.connections) {
            error_code ignored;
            c->ended = true;
            c->socket.close(ignored);
        }
        rest(30);
        const std::size_t before = one.count(Op::search);
        const auto got =
            ask_raw(client, 2, RawLdap::search(2, "ou=people," + base, 0, RawLdap::paged(2, "page of")));
        EXPECT_EQ(got.code, ldap::unavailable);
        EXPECT_NE(got.text.find("begin again"), std::string::npos) << got.text;
        EXPECT_EQ(one.count(Op::search), before);
        EXPECT_EQ(ask_raw(client, 3, RawLdap::search(3, "ou=people," + base)).code, ldap::success);
        forget_clients();
        daemon.reset();
    }
}

TEST_F(Ldap, APersistentSearchHasNoEndOfItsOwn) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start_with({&one}, proxied, "timeout = \"150ms\"\nstream_idle = \"100ms\"");
        RawClient& client = raw_ldap();
        client.send(
            RawLdap::search(1, "ou=people," + base, 0, RawLdap::control(ldap::oid::persistent, true, "x")));
        until([&] { return got(client, 1).size() == 6; });
        rest(400);
        EXPECT_FALSE(has_final(client, 1)) << "neither the route's time nor silence ends it";
        one.push("uid=new,ou=people," + base);
        until([&] { return got(client, 1).size() == 7; });
        // Beside it others go on, and a bind ends it.
        EXPECT_EQ(ask_raw(client, 2, RawLdap::search(2, "uid=u1,ou=people," + base)).code, ldap::success);
        EXPECT_EQ(ask_raw(client, 3, RawLdap::bind(3, "uid=anna," + base, "anna-secret")).code,
                  ldap::success);
        EXPECT_EQ(final_of(client, 1).code, ldap::canceled);
        // Of refreshAndPersist the same; a lost client ends it at its server.
        ldap::BerWriter mode;
        mode.begin(0x30).number(3, 0x0a).end();
        client.send(RawLdap::search(4, "ou=people," + base, 0,
                                    RawLdap::control(ldap::oid::sync, true, RawLdap::text(mode.take()))));
        until([&] { return got(client, 4).size() == 6; });
        client.close();
        until([&] { return open() == 0; });
        forget_clients();
        daemon.reset();
    }
}

TEST_F(Ldap, ATransactionStaysOnItsConnection) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start_with({&one, &two, &three}, proxied);
        for (int i = 0; i < 6; ++i) {
            RawClient& client = raw_ldap();
            EXPECT_EQ(ask_raw(client, 1, RawLdap::extended(1, ldap::oid::start_transaction)).code,
                      ldap::success);
            EXPECT_EQ(ask_raw(client, 2, RawLdap::search(2, "uid=u1,ou=people," + base)).code, ldap::success);
            EXPECT_EQ(ask_raw(client, 3, RawLdap::extended(3, ldap::oid::end_transaction, "x")).code,
                      ldap::success);
            EXPECT_EQ(ask_raw(client, 4, RawLdap::extended(4, ldap::oid::end_transaction, "x")).code,
                      ldap::unavailable);
        }
        forget_clients();
        daemon.reset();
    }
}

}  // namespace
}  // namespace whinledge::test
