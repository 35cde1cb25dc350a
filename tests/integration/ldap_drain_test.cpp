// Directory servers that drain, take their leave with a notice, and come back cold.
#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

TEST_F(Ldap, ADrainedServerFinishesLongSearchesAndGetsNothingNew) {
    one.script = [](const auto& seen) {
        DirectoryServer::Fault fault;
        fault.delay_ms = seen.dn.starts_with("ou=people") ? 900 : 0;
        return fault;
    };
    const auto file = [&](const std::vector<const DirectoryServer*>& servers) {
        return ldap_listener() + ldap_pool("people", servers, true) +
               ldap_route("all", "people", "timeout = \"5s\"");
    };
    start(file({&one}));
    RawClient& client = raw_ldap();
    client.send(RawLdap::search(1, "ou=people," + base));
    until([&] { return one.count(Op::search) == 1; });
    reload(file({&two}));
    const std::size_t before = one.seen.size();
    for (int id = 2; id < 60; ++id) {
        EXPECT_EQ(ask_raw(client, id, RawLdap::search(id, "ou=people," + base)).code, ldap::success);
        rest(12);
    }
    until([&] { return has_final(client, 1); });
    EXPECT_EQ(final_of(client, 1).code, ldap::success) << "it was taken before";
    for (std::size_t i = before; i < one.seen.size(); ++i)
        EXPECT_TRUE(one.seen[i].op == Op::unbind) << "nothing new";
}

TEST_F(Ldap, ANoticeOfDisconnectionIsADrain) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        one.script = [](const auto& seen) {
            DirectoryServer::Fault fault;
            fault.delay_ms = seen.dn.starts_with("uid=u1") ? 200 : 0;
            return fault;
        };
        auto with = options();
        with.notice_hold = 60000;
        daemon.emplace(io,
                       services_of(ldap_listener() + ldap_pool("people", {&one, &two}, proxied) +
                                   ldap_route("all", "people", "timeout = \"5s\"")),
                       with);
        RawClient& client = raw_ldap();
        // Until one of them has the slow search.
        int id = 1;
        const std::size_t at = one.count(Op::search);
        while (one.count(Op::search) == at) {
            client.send(RawLdap::search(++id, "uid=u1,ou=people," + base));
            rest(2);
        }
        one.give_notice();
        rest(20);
        const std::size_t before = one.seen.size();
        for (int i = 100; i < 160; ++i)
            EXPECT_EQ(ask_raw(client, i, RawLdap::search(i, "ou=people," + base)).code, ldap::success);
        until([&] { return has_final(client, id); });
        EXPECT_EQ(final_of(client, id).code, ldap::success) << "what it had it finished";
        for (std::size_t i = before; i < one.seen.size(); ++i) EXPECT_TRUE(one.seen[i].op == Op::unbind);
        forget_clients();
        daemon.reset();
    }
}

// After a notice it counts as started anew, so it is fed by what a cold one may have.
TEST_F(Ldap, AServerThatComesBackIsColdAndFedSlowly) {
    auto with = options();
    with.notice_hold = 1000;
    daemon.emplace(io,
                   services_of(ldap_listener() +
                               ldap_pool("people", {&one, &two, &three}, true,
                                         "cold_from = 0.1\nwarm_within = \"60s\"\nfall_multiple = 1.0\n") +
                               ldap_route("all", "people")),
                   with);
    RawClient& client = raw_ldap();
    int id = 0;
    const auto lookups = [&](int count) {
        const std::size_t before = one.count(Op::search);
        for (int i = 0; i < count; ++i) {
            ++id;
            client.text.clear();
            ask_raw(client, id, RawLdap::search(id, "uid=u1,ou=people," + base));
        }
        return one.count(Op::search) - before;
    };
    EXPECT_GT(lookups(300), 20u) << "an even share, about";
    one.give_notice();
    until([&] { return daemon->pool("people")->ready() == 2; });
    EXPECT_EQ(lookups(40), 0u);
    until([&] { return daemon->pool("people")->ready() == 3; });
    EXPECT_LT(lookups(600), 120u) << "well under the 200 of an even share";
}

}  // namespace
}  // namespace whinledge::test
