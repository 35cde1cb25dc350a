// LDAP over directory servers that freeze, drop binds, die between entries and answer with results that are
// failures.
#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

TEST_F(Ldap, AServerThatFreezesWithTwoHundredSearchesOpenIsLeft) {
    start_with({&one, &two, &three}, true, "timeout = \"600ms\"");
    std::vector<RawClient*> clients;
    for (int i = 0; i < 20; ++i) clients.push_back(&raw_ldap());
    for (RawClient* const c : clients) ask_raw(*c, 1, RawLdap::search(1, "ou=people," + base));
    for (DirectoryServer* const server : servers())
        server->script = [](const auto&) {
            DirectoryServer::Fault fault;
            fault.delay_ms = 50;
            return fault;
        };
    for (RawClient* const c : clients)
        for (int id = 2; id < 12; ++id) c->send(RawLdap::search(id, "ou=people," + base));
    until([&] { return one.count(Op::search) >= 30; });
    one.freeze();
    until([&] {
        for (RawClient* const c : clients)
            for (int id = 2; id < 12; ++id)
                if (!has_final(*c, id)) return false;
        return true;
    });
    int served = 0;
    for (RawClient* const c : clients)
        for (int id = 2; id < 12; ++id) {
            const auto got = final_of(*c, id);
            served += got.code == ldap::success;
            if (got.code != ldap::success) {
                EXPECT_EQ(got.code, ldap::time_limit_exceeded) << got.text;
            }
        }
    EXPECT_GE(served, 60) << "what was elsewhere is served";
    // It is out by now: nobody notices any more.
    int late = 0;
    for (int id = 20; id < 70; ++id)
        late +=
            ask_raw(*clients[static_cast<std::size_t>(id) % 20], id, RawLdap::search(id, "ou=people," + base))
                .code != ldap::success;
    EXPECT_LE(late, 2) << "trials alone";
    EXPECT_EQ(open(), 0u);
}

TEST_F(Ldap, AServerThatDropsEveryBindIsNoLoss) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        one.script = [](const auto& seen) {
            DirectoryServer::Fault fault;
            fault.close = seen.op == Op::bind;
            return fault;
        };
        start_with({&one, &two, &three}, proxied);
        for (int i = 0; i < 30; ++i) {
            RawClient& client = raw_ldap();
            EXPECT_EQ(ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret")).code,
                      ldap::success)
                << i;
            EXPECT_EQ(ask_raw(client, 2, RawLdap::search(2, "ou=people," + base)).code, ldap::success) << i;
        }
        forget_clients();
        daemon.reset();
    }
}

TEST_F(Ldap, AServerThatDropsOneBindInThreeIsNoLoss) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        int turn = 0;
        for (DirectoryServer* const server : servers())
            server->script = [&turn](const auto& seen) {
                DirectoryServer::Fault fault;
                fault.close = seen.op == Op::bind && ++turn % 3 == 0;
                return fault;
            };
        start_with({&one, &two, &three}, proxied);
        int bound = 0;
        for (int i = 0; i < 30; ++i) {
            RawClient& client = raw_ldap();
            const auto got = ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret"));
            bound += got.code == ldap::success;
            if (got.code != ldap::success) {
                EXPECT_TRUE(got.code == ldap::busy || got.code == ldap::other) << got.code;
            }
        }
        EXPECT_GE(bound, 28);
        forget_clients();
        daemon.reset();
    }
}

TEST_F(Ldap, AServerThatDiesBetweenEntriesEndsWhatWasPassedOn) {
    one.script = [](const auto& seen) {
        DirectoryServer::Fault fault;
        if (seen.op == Op::search) fault.entries = 2;
        return fault;
    };
    start_with({&one}, true, "timeout = \"2s\"\nbuffer = \"0KiB\"");
    RawClient& client = raw_ldap();
    const auto got = ask_raw(client, 1, RawLdap::search(1, "ou=people," + base));
    EXPECT_EQ(got.code, ldap::other);
    EXPECT_EQ(this->got(client, 1).size(), 3u) << "two entries and the end";
    EXPECT_EQ(seen(Op::search), 1u);
}

TEST_F(Ldap, AServerThatDiesBetweenEntriesThatAreHeldBackIsNoLoss) {
    one.script = [](const auto& seen) {
        DirectoryServer::Fault fault;
        if (seen.op == Op::search) fault.entries = 2;
        return fault;
    };
    start_with({&one, &two}, true);
    RawClient& client = raw_ldap();
    for (int id = 1; id < 20; ++id) {
        EXPECT_EQ(ask_raw(client, id, RawLdap::search(id, "ou=people," + base)).code, ldap::success);
        EXPECT_EQ(got(client, id).size(), 7u) << "six entries, each once, and the end";
    }
    EXPECT_GE(one.count(Op::search), 1u);
}

// What results mean: busy proves that nothing ran, unwilling is an answer, unavailable a failure.
TEST_F(Ldap, ResultsOfServersMeanWhatTheRouteSays) {
    std::map<std::string, std::int32_t> code{{"busy", ldap::busy},
                                             {"unwilling", ldap::unwilling_to_perform},
                                             {"unavailable", ldap::unavailable},
                                             {"exists", 68}};
    const auto answers = [&](const auto& seen) {
        DirectoryServer::Fault fault;
        for (const auto& [name, result] : code)
            if (seen.dn.starts_with("cn=" + name)) fault.code = result;
        return fault;
    };
    one.script = two.script = answers;
    start_with({&one, &two}, true);
    RawClient& client = raw_ldap();
    const auto ask = [&](int id, const std::string& name) {
        const std::size_t before = seen(Op::modify);
        const auto got = ask_raw(client, id, RawLdap::modify(id, "cn=" + name + "," + base));
        return std::pair(got.code, seen(Op::modify) - before);
    };
    EXPECT_EQ(ask(1, "unwilling"), std::pair(std::int32_t{ldap::unwilling_to_perform}, std::size_t{1}));
    EXPECT_EQ(ask(2, "exists"), std::pair(std::int32_t{68}, std::size_t{1}));
    EXPECT_EQ(ask(3, "unavailable"), std::pair(std::int32_t{ldap::unavailable}, std::size_t{1}))
        << "no proof: not sent again, and what its server said is passed on";
    const auto [busy, tries] = ask(4, "busy");
    EXPECT_EQ(busy, ldap::busy);
    EXPECT_GE(tries, 2u) << "it never ran, so it went to another one";
    EXPECT_LE(tries, 4u);
    EXPECT_EQ(changes("cn=busy," + base), 0);
}

TEST_F(Ldap, WhatNobodyTakesIsRefusedAndSaysWhen) {
    start_with({&one}, true, "timeout = \"400ms\"");
    one.close();
    const auto got = ask_raw(raw_ldap(), 1, RawLdap::modify(1, "cn=x," + base));
    EXPECT_EQ(got.code, ldap::busy);
    EXPECT_TRUE(got.text.starts_with("refused: trying again is harmless")) << got.text;
}

TEST_F(Ldap, AClientsTimeLimitCountsIfItIsShorter) {
    one.script = [](const auto&) {
        DirectoryServer::Fault fault;
        fault.silent = true;
        return fault;
    };
    start_with({&one}, false, "timeout = \"20s\"");
    const auto begun = std::chrono::steady_clock::now();
    EXPECT_EQ(ask_raw(raw_ldap(), 1, RawLdap::search(1, "ou=people," + base, 1)).code,
              ldap::time_limit_exceeded);
    EXPECT_GE(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(950));
}

}  // namespace
}  // namespace whinledge::test
