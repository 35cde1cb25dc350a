// The fleet in daemons: reloads, drains, and what the control socket says. Processes and faults between them:
// tests/fleet.
#include <unistd.h>

#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "control/client.hpp"
#include "rig/service_rig.hpp"

namespace whinledge::test {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;
using fleet::Standing;
using fleet::State;

struct FleetDaemon : ServiceRig {
    fs::path folder = fs::temp_directory_path() / ("whinledge-fleet-" + std::to_string(::getpid()));
    std::map<std::string, std::string> addresses{{"s1", free_address()}, {"s2", free_address()}};
    std::optional<Daemon> second;

    FleetDaemon() { fs::create_directories(folder); }
    ~FleetDaemon() override {
        second.reset();
        daemon.reset();
        fs::remove_all(folder);
    }
    std::string control(const std::string& of) const { return (folder / of).string(); }
    std::string fleet_of(const std::string& self, const std::string& more = "") const {
        std::string text =
            "[fleet]\nname = \"archive\"\nself = \"" + self + "\"\n" +
            (more.find("probe_period") == more.npos ? "probe_period = \"100ms\"\n" : "") +
            (more.find("control") == more.npos ? "control = \"" + control(self) + "\"\n" : "") + more;
        for (const auto& [name, address] : addresses)
            text += "[[fleet.member]]\nname = \"" + name + "\"\naddress = \"" + address + "\"\n";
        return text;
    }
    std::string services(const std::string& at, const std::string& fleet) {
        const std::string edge = "[[listener]]\nname = \"edge\"\naddress = \"" + at + "\"\n";
        return edge + pool("archive", {a.address()}) + route("archive", "/archive", "pool = \"archive\"") +
               fleet;
    }
    std::string second_listen = free_address();
    std::string first_with(const std::string& fleet) { return services(listen, fleet); }
    void start_both() {
        start(first_with(fleet_of("s1")));
        second.emplace(io, services_of(services(second_listen, fleet_of("s2"))), options());
        until([&] { return standing(*daemon) == Standing::joined && standing(*second) == Standing::joined; });
    }
    static Standing standing(const Daemon& of) { return of.fleet()->agent().standing(); }
    fleet::Membership::Peer first_as_seen() const {
        return *second->fleet()->agent().membership().peer(fleet::key_of("s1"));
    }
    fleet::Incarnation life() const { return daemon->fleet()->agent().membership().incarnation(); }
    // The answer of a daemon of this loop, by the client that commands use.
    Json asked(const std::string& path, const std::string& command = "fleet members") {
        Json answer;
        bool done = false;
        std::thread client([&] {
            control::ask(path, {{"command", command}}, 10000,
                         [&](const Json& line) { return answer = line, false; });
            asio::post(io, [&] { done = true; });
        });
        until([&] { return done; });
        client.join();
        return answer;
    }
    std::string refused(const std::string& text) {
        try {
            reload(text);
        } catch (const std::runtime_error& why) {
            return why.what();
        }
        return "";
    }
};

TEST_F(FleetDaemon, MembersAreToldAsTheContractSays) {
    start_both();
    const Json answer = asked(control("s1"));
    EXPECT_EQ(answer["status"], 0);
    const Json& result = answer["result"];
    EXPECT_EQ(result["self"], "s1");
    EXPECT_EQ(result["standing"], "joined");
    ASSERT_EQ(result["members"].size(), 2u);
    const Json& other = result["members"][1];
    EXPECT_EQ(other["name"], "s2");
    EXPECT_EQ(other["state"], "alive");
    EXPECT_EQ(other["incarnation"], second->fleet()->agent().membership().incarnation());
    EXPECT_GE(other["heard_ms"], 0);
    EXPECT_EQ(other["draining"], false);
    EXPECT_EQ(asked(control("s1"), "fleet nonsense"),
              (Json{{"status", 1}, {"error", "no such command: fleet nonsense"}}));
}

TEST_F(FleetDaemon, AReloadKeepsTheLifeUnlessItIsAnothersOrAnotherPace) {
    start_both();
    const auto before = life();
    addresses["s3"] = free_address();
    reload(first_with(fleet_of("s1")));
    EXPECT_EQ(life(), before);
    EXPECT_EQ(daemon->fleet()->agent().membership().size(), 3u);
    EXPECT_EQ(asked(control("s1"))["result"]["members"].size(), 3u);
    reload(first_with(fleet_of("s1", "probe_period = \"200ms\"\n")));
    const auto after = life();
    EXPECT_GT(after, before);
    until([&] { return first_as_seen().incarnation >= after && first_as_seen().state == State::alive; });
    EXPECT_EQ(standing(*second), Standing::joined);
}

// Its own address and its control socket move; both are opened before anything changes.
TEST_F(FleetDaemon, AReloadMovesSocketsOrChangesNothing) {
    start_both();
    const auto before = life();
    const std::string old = addresses["s1"];
    asio::ip::udp::socket taken(io, endpoint_of<Udp>(addresses["s1"] = free_address()));
    EXPECT_NE(refused(first_with(fleet_of("s1"))).find("fleet: " + addresses["s1"]), std::string::npos);
    taken.close();
    EXPECT_NE(refused(first_with(fleet_of("s1", "control = \"" + control("s2") + "\"\n")))
                  .find("another process answers"),
              std::string::npos);
    EXPECT_EQ(daemon->fleet()->agent().settings().own().address, endpoint_of<Udp>(old));
    EXPECT_EQ(asked(control("s1"))["status"], 0);
    reload(first_with(fleet_of("s1", "control = \"" + control("new") + "\"\n")));
    EXPECT_EQ(asked(control("new"))["status"], 0);
    EXPECT_FALSE(fs::exists(control("s1")));
    EXPECT_EQ(life(), before);
    // The other's file says the old address: nothing is heard from the new one until it is told, too.
    second->reload(services_of(services(second_listen, fleet_of("s2"))));
    const auto heard = first_as_seen().heard_at;
    until([&] { return first_as_seen().heard_at > heard; });
    EXPECT_EQ(first_as_seen().state, State::alive);
}

TEST_F(FleetDaemon, AFleetComesAndGoesWithTheFile) {
    start(first_with(""));
    EXPECT_EQ(daemon->fleet(), nullptr);
    reload(first_with(fleet_of("s1")));
    second.emplace(io, services_of(services(second_listen, fleet_of("s2"))), options());
    until([&] { return standing(*daemon) == Standing::joined && standing(*second) == Standing::joined; });
    reload(first_with(""));
    EXPECT_EQ(daemon->fleet(), nullptr);
    EXPECT_FALSE(fs::exists(control("s1")));
    until([&] { return first_as_seen().state == State::left; });
    EXPECT_EQ(ask(get("/archive")).result_int(), 200u);
}

TEST_F(FleetDaemon, ADrainIsSeenWhileItLastsAndEndsWithGoodbye) {
    start_both();
    a.script = silence;
    TestClient& held = client();
    held.send(get("/archive"));
    until([&] { return !a.requests.empty(); });
    bool drained = false;
    daemon->drain([&] { drained = true; });
    until([&] { return first_as_seen().draining; });
    EXPECT_EQ(first_as_seen().state, State::alive);
    EXPECT_FALSE(drained);
    a.send(0, response("200 OK", "late"));
    until([&] { return drained; });
    EXPECT_EQ(held.answers.size(), 1u);
    until([&] { return first_as_seen().state == State::left; });
}

// ---- Limits -----------------------------------------------------------------------------------------------

const std::string kLimit =
    "[[fleet.limit]]\nname = \"reads\"\npool = \"archive\"\nclasses = [\"safe\"]\nlease = \"500ms\"\n";

// Whatever the pace of membership is, limits keep theirs, and cost membership nothing of what a member may
// say.
TEST_F(FleetDaemon, ALimitIsBorrowedAcrossMembersThatProbeSeldom) {
    const std::string fleet = "probe_period = \"60s\"\n";
    const std::string limit = kLimit + "rate = 40\nburst = 4\n";
    start(first_with(fleet_of("s1", fleet) + limit));
    second.emplace(io, services_of(services(second_listen, fleet_of("s2", fleet) + limit)), options());
    const auto limits = [&] { return asked(control("s1"), "fleet limits")["result"]["limits"][0]; };
    std::size_t served = 0, refused = 0;
    // A member that starts may use nothing of its own for one lease.
    EXPECT_EQ(ask(get("/archive")).result_int(), 503u);
    EXPECT_GT(limits()["own_from_ms"], 0.0);
    until([&] {
        const auto answer = ask(get("/archive"));
        ++(answer.result_int() == 200 ? served : refused);
        EXPECT_TRUE(answer.result_int() == 200 || !answer["Retry-After"].empty());
        return served >= 90;
    });
    EXPECT_GT(refused, 0u);
    const Json now = limits();
    EXPECT_EQ(now["limit"], 40.0);
    EXPECT_GT(now["borrowed"], 10.0);
    EXPECT_EQ(now["over_bound"], 0);
    EXPECT_EQ(ask(post("/archive", "x")).result_int(), 200u) << "a class that is not limited";
    EXPECT_EQ(second->fleet()->agent().membership().dropped().flood, 0u);
    EXPECT_EQ(second->fleet()->agent().item_floods(), 0u);
}

// A time that does not come is no timer: one that was, fired at once and again for ever.
TEST_F(FleetDaemon, WhoHasNothingToDoSleeps) {
    addresses.erase("s2");
    start(first_with(fleet_of("s1", "probe_period = \"60s\"\n") + kLimit + "rate = 40\n"));
    io.run_for(std::chrono::milliseconds(50));
    io.restart();
    EXPECT_LT(io.run_for(std::chrono::milliseconds(300)), 50u) << "handlers, with a limit that nobody asks";
    bool drained = false;
    daemon->drain([&] { drained = true; });
    until([&] { return drained; });
    io.restart();
    EXPECT_LT(io.run_for(std::chrono::milliseconds(300)), 50u) << "handlers, after goodbye";
}

TEST_F(FleetDaemon, OpenRequestsUnderALimitAreGivenBackAtTheirEnd) {
    addresses.erase("s2");
    const std::string limit = kLimit + "open = 2\nlongest = \"5s\"\n";
    start(first_with(fleet_of("s1") + limit));
    a.script = silence;
    std::list<TestClient> held;
    until([&] {  // from when its own part may be used
        TestClient& one = held.emplace_back(io, edge());
        one.send(get("/archive"));
        const auto before = a.requests.size();
        until([&] { return !one.answers.empty() || a.requests.size() > before; });
        if (!one.answers.empty()) held.pop_back();  // refused: thousands of them, on a fast machine
        return a.requests.size() == 2;
    });
    EXPECT_EQ(ask(get("/archive")).result_int(), 503u) << "two are open";
    EXPECT_EQ(asked(control("s1"), "fleet limits")["result"]["limits"][0]["used"], 2.0);
    reload(first_with(fleet_of("s1") + limit));
    EXPECT_EQ(ask(get("/archive")).result_int(), 503u) << "a reload forgets nothing";
    for (std::size_t i = 0; i < 2; ++i) a.send(i, response("200 OK", "late"));
    until([&] { return open() == 0; });
    a.script = echo;
    until([&] { return ask(get("/archive")).result_int() == 200; });
}

}  // namespace
}  // namespace whinledge::test
