// The platform's profile in front of three pools: the four rules over random servers, held by what the
// servers saw and what the clients were told.
#include <algorithm>
#include <map>
#include <random>

#include "rig/service_rig.hpp"

namespace whinledge::test {
namespace {

using SteadyClock = std::chrono::steady_clock;

struct PlatformPools : ServiceRig {
    // What one server does next, drawn anew for each request.
    struct Server {
        explicit Server(PlatformPools& rig)
            : rig(rig), at(rig.io, [this](const auto& request) { return reply(request); }) {}
        Reply reply(const ScriptedServer::Request& request) {
            const std::string id(request["Request-Id"]);
            rig.sent[id].push_back({this, false});
            last = SteadyClock::now();
            switch (rig.random() % 12) {
                case 0:
                    rig.sent[id].back().proof = true;
                    return {response("503 Busy", "", "Not-Started: 1\r\n")};
                case 1:
                    rig.sent[id].back().proof = true;
                    return {response("504 Late", "", "Not-Started: 1\r\n")};
                case 2:
                    return {"", true};
                case 3:
                    return {"HTTP/1.1 200 OK\r\nContent-Le", true};
                case 4:
                    return {"", false, true};
                case 5:
                    return {response("500 Oops")};
                case 6:
                    return {};
                case 7:
                    return {response("200 OK", id), false, false, static_cast<int>(rig.random() % 40)};
                default:
                    return {response("200 OK", id)};
            }
        }
        PlatformPools& rig;
        ScriptedServer at;
        SteadyClock::time_point last{};
    };
    struct Attempt {
        Server* server;
        bool proof;  // it was told that nothing ran
    };
    struct Asked {
        TestClient* client;
        std::string name, id;
        SteadyClock::time_point at, answered{};
    };

    std::mt19937 random{1};
    std::map<std::string, std::vector<Attempt>> sent;
    std::list<Server> servers;
    std::vector<Asked> asked;
    static constexpr int kTimeout = 250;

    static std::string class_of_pool(const std::string& name) {
        const std::string effect = name == "listen" ? "safe" : name == "deposit" ? "unsafe" : "keyed";
        return "[[pool." + name + ".class]]\nname = \"" + name + "\"\neffect = \"" + effect +
               "\"\naim = \"200ms\"\n" +
               (effect == "keyed" ? "dedup_scope = \"all\"\ndedup_window = \"3s\"\n" : "");
    }
    // Each pool has servers first, first + 3, ... but for the one that is left out.
    std::string file(int left_out = -1) {
        std::string text = listener("profile = \"platform\"\n");
        const char* const names[] = {"listen", "deposit", "annotate"};
        for (int p = 0; p < 3; ++p) {
            std::vector<std::string> addresses;
            int i = 0;
            for (Server& server : servers)
                if (i++ % 3 == p && i - 1 != left_out) addresses.push_back(server.at.address());
            text += pool(names[p], addresses) + class_of_pool(names[p]);
        }
        for (const char* const name : names)
            text += std::string("[[route]]\nname = \"") + name + "\"\npool = \"" + name +
                    "\"\n[[route.match]]\nclass = \"" + name + "\"\n";
        return text;
    }
    void send(int number) {
        const char* const names[] = {"listen", "deposit", "annotate"};
        const std::string name = names[random() % 3], id = "id-" + std::to_string(number);
        asked.push_back({&client(), name, id, SteadyClock::now()});
        asked.back().client->send(request(name, id, kTimeout, name == "listen" ? "" : "body"));
    }
    std::size_t waiting() {
        std::size_t count = 0;
        for (Asked& a : asked) {
            if (a.client->answers.empty() && !a.client->ended)
                ++count;
            else if (a.answered == SteadyClock::time_point{})
                a.answered = SteadyClock::now();
        }
        return count;
    }
    void hold_to_the_rules(const Asked& a) {
        ASSERT_EQ(a.client->answers.size(), 1u) << a.id << ": rule 1";
        const auto& attempts = sent[a.id];
        const auto status = a.client->answers[0].result_int();
        EXPECT_LE(attempts.size(), 4u) << a.id;
        const auto may_have_run = static_cast<std::size_t>(
            std::count_if(attempts.begin(), attempts.end(), [](const Attempt& at) { return !at.proof; }));
        if (a.name == "deposit") {
            EXPECT_LE(may_have_run, 1u) << a.id << ": rule 2, it may have run twice";
            if (status == 503) {
                EXPECT_EQ(may_have_run, 0u) << a.id << ": rule 2, called harmless";
            }
            // Nothing goes out behind one that may have run.
            for (std::size_t i = 0; i + 1 < attempts.size(); ++i) EXPECT_TRUE(attempts[i].proof) << a.id;
        }
        if (status == 200) {
            EXPECT_EQ(a.client->answers[0].body(), a.id) << "another's answer";
        }
        for (const Attempt& at : attempts) {
            const auto place = std::find_if(servers.begin(), servers.end(),
                                            [&](const Server& s) { return &s == at.server; });
            const auto pool = std::distance(servers.begin(), place) % 3;
            EXPECT_EQ(pool, a.name == "listen"    ? 0
                            : a.name == "deposit" ? 1
                                                  : 2)
                << a.id << ": another's pool";
        }
    }
};

TEST_F(PlatformPools, TheRulesHoldOverRandomServers) {
    for (int i = 0; i < 9; ++i) servers.emplace_back(*this);
    start(file());
    int number = 0;
    for (int round = 0; round < 40; ++round) {
        for (int i = 0; i < 8; ++i) send(number++);
        until([&] { return waiting() < 12; });
    }
    until([&] { return waiting() == 0; });
    rest();
    std::map<unsigned, int> statuses;
    for (const Asked& a : asked) {
        hold_to_the_rules(a);
        ++statuses[a.client->answers[0].result_int()];
        // Times are the machine's: only that it was not late by an order.
        EXPECT_LT(a.answered - a.at, std::chrono::milliseconds(kTimeout * 10)) << a.id;
    }
    // Enough of each to mean something; how many is the draw's and the machine's.
    EXPECT_GT(statuses[200], 20);
    EXPECT_GT(statuses[502] + statuses[503] + statuses[504], 20);
    EXPECT_EQ(open(), 0u);
}

// Rule 3, of one pool by a reload, while unsafe requests run in all three.
TEST_F(PlatformPools, ARemovedServerGetsNothingNewAndTheRulesHold) {
    for (int i = 0; i < 9; ++i) servers.emplace_back(*this);
    start(file());
    int number = 0;
    for (int i = 0; i < 24; ++i) send(number++);
    until([&] { return waiting() < 16; });
    reload(file(4));
    const auto told = SteadyClock::now();
    for (int round = 0; round < 30; ++round) {
        for (int i = 0; i < 8; ++i) send(number++);
        until([&] { return waiting() < 12; });
        rest(20);
    }
    until([&] { return waiting() == 0; });
    for (const Asked& a : asked) hold_to_the_rules(a);
    EXPECT_LE(std::next(servers.begin(), 4)->last - told, std::chrono::milliseconds(500)) << "rule 3";
    EXPECT_GT(std::next(servers.begin(), 1)->last, told) << "the others of its pool go on";
}

}  // namespace
}  // namespace whinledge::test
