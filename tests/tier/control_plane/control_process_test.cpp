// Three control processes in one loop, on loopback and on disk, with an operator, a platform's list and
// watchers.
#include "control_plane/control_process.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "../consensus/held_log.hpp"
#include "feed/feed.hpp"
#include "rig/disk_folder.hpp"
#include "rig/own_address.hpp"

namespace whinledge::control_plane {
namespace {

using Json = nlohmann::json;
using Tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto kLimit = 20s;

// Ports of control processes, each of which has an address of this test's own.
constexpr int kOperatorPort = 20001;
constexpr int kRpcPort = 20002;

// One exchange of an operator; the answer once it is there.
class Call : public std::enable_shared_from_this<Call> {
public:
    Call(boost::asio::io_context& io, const Tcp::endpoint& to, std::string request)
        : socket_(io), out_(std::move(request)) {
        socket_.async_connect(to, [this](boost::system::error_code failed) {
            if (failed) return finish();
            boost::asio::async_write(socket_, boost::asio::buffer(out_),
                                     [this](boost::system::error_code, std::size_t) { read(); });
        });
    }
    bool done = false;
    int status() const { return in_.size() > 12 ? std::stoi(in_.substr(9, 3)) : 0; }
    std::string body() const {
        const auto end = in_.find("\r\n\r\n");
        return end == std::string::npos ? "" : in_.substr(end + 4);
    }
    bool has(const std::string& text) const { return in_.find(text) != std::string::npos; }

private:
    void read() {
        boost::asio::async_read(socket_, boost::asio::dynamic_buffer(in_),
                                [this](boost::system::error_code, std::size_t) { finish(); });
    }
    void finish() { done = true; }

    Tcp::socket socket_;
    std::string out_, in_;
};

// GET /servers of a platform with one page.
class Platform {
public:
    explicit Platform(boost::asio::io_context& io)
        : server_(
              io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
              [this](const HttpRequest&, const HttpServer::Respond& respond) {
                  ++calls;
                  if (silent) return held_.push_back(respond);
                  if (rate_spent) return respond({429, "", std::nullopt});
                  Json list = Json::array();
                  for (const std::string& id : ids)
                      list.push_back(
                          {{"id", id}, {"service", "s"}, {"address", "10.0.0.1:80"}, {"coldLeftMs", calls}});
                  respond({200, Json{{"servers", list}, {"nextPage", nullptr}}.dump(), std::nullopt});
              }) {}
    std::string address() const {
        return std::string("127.0.0.1:").append(std::to_string(server_.address().port()));
    }

    std::vector<std::string> ids{"i-1"};
    int calls = 0;
    bool silent = false, rate_spent = false;

private:
    HttpServer server_;
    std::vector<HttpServer::Respond> held_;
};

class ControlPlane : public ::testing::Test {
protected:
    ControlPlane() {
        for (int i = 0; i < 3; ++i) boot(i, true);
    }
    static std::string ip(int i) {
        return whinledge::test::own_address(static_cast<unsigned>(i)).to_string();
    }
    static std::string at(int i, int port) { return ip(i) + ":" + std::to_string(port); }

    void boot(int i, bool first) {
        node::Settings settings;
        settings.node = std::string("core-").append(std::to_string(i));
        settings.ip = ip(i);
        settings.zone = std::string("z").append(std::to_string(i));
        settings.control_address = at(i, kOperatorPort);
        settings.spare_ports = {std::to_string(kRpcPort), std::to_string(kRpcPort)};
        for (int seed = 0; seed < 3; ++seed) settings.seed_nodes.push_back(at(seed, kOperatorPort));
        settings.first_boot = first;
        settings.data_folder = folders_[i].path();
        settings.survive_machines = 1;
        settings.list_address = platform.address();
        settings.list_calls_per_second = 40;
        processes[i] = std::make_unique<ControlProcess>(
            io, settings, [gate = gates[i]](std::unique_ptr<consensus::AcceptorLog> log) {
                return std::make_unique<consensus::test::HeldLog>(std::move(log), gate);
            });
        processes[i]->start();
    }
    void kill(int i) { processes[i].reset(); }

    template <class Done>
    bool runs_until(Done done) {
        io.restart();
        const auto limit = std::chrono::steady_clock::now() + kLimit;
        while (!done() && std::chrono::steady_clock::now() < limit) io.run_one_for(20ms);
        return done();
    }

    std::unique_ptr<Call> call(int i, const std::string& head, const std::string& more = "",
                               const std::string& body = "") {
        auto made =
            std::make_unique<Call>(io, Tcp::endpoint(boost::asio::ip::make_address(ip(i)), kOperatorPort),
                                   head + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + more +
                                       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        EXPECT_TRUE(runs_until([&] { return made->done; }));
        return made;
    }
    static std::string configuration(int version, int timeout_ms = 1000) {
        return Json{{"version", version},
                    {"services", {{{"name", "s"}}}},
                    {"routes",
                     {{{"name", "r"},
                       {"host", "h"},
                       {"pathStart", "/"},
                       {"kind", "one_shot"},
                       {"timeoutMs", timeout_ms},
                       {"service", "s"}}}}}
            .dump();
    }
    int replace(int i, int based_on, const std::string& body) {
        return call(i, "POST /settings/replace",
                    std::string("Based-On: ").append(std::to_string(based_on)) + "\r\n", body)
            ->status();
    }
    // As an operator does: again, at the next, until the answer is clear.
    int replace_somewhere(int first, int based_on, const std::string& body) {
        int status = 0;
        for (int tries = 0; tries < 40; ++tries) {
            status = processes[(first + tries) % 3] ? replace((first + tries) % 3, based_on, body) : 0;
            if (status != 503 && status != 0) return status;
            io.restart();
            io.run_for(100ms);
        }
        return status;
    }
    int begin_rollout(int i, const std::string& order) {
        return call(i, "POST /rollouts/begin", "", order)->status();
    }
    int begin_rollout_somewhere(int first, const std::string& order) {
        int status = 0;
        for (int tries = 0; tries < 20; ++tries) {
            status = begin_rollout((first + tries) % 3, order);
            if (status != 503 && status != 0) return status;
            io.restart();
            io.run_for(100ms);
        }
        return status;
    }
    // Who reads the platform's list; -1: nobody, -2: two.
    int list_reader() {
        int reader = -1;
        for (int i = 0; i < 3; ++i) {
            const Json leases = page(i, "/leases");
            for (const Json& lease : leases["leases"])
                if (lease["lease"] == "servers-list" && lease["own"] == true) reader = reader == -1 ? i : -2;
        }
        return reader;
    }
    // Complete readings of the platform's list by this process, as it counts them.
    std::string readings(int i) {
        const std::string counters = processes[i]->counters();
        const auto at = counters.find("list: read=");
        return counters.substr(at, counters.find(' ', at + 6) - at);
    }
    Json page(int i, const std::string& path) {
        return Json::parse(call(i, "GET " + path)->body(), nullptr, false);
    }

    std::unique_ptr<feed::Feed> watcher(const std::string& node, wire::NodeRole::type role,
                                        std::int64_t identity) {
        feed::Feed::Options options;
        options.self.node = node;
        options.self.zone = "z-" + node;
        options.self.address = std::string("127.0.0.1:").append(std::to_string(identity));
        options.self.role = role;
        options.self.identity = identity;
        for (int i = 0; i < 3; ++i) options.seeds.push_back(at(i, kRpcPort));
        auto feed = std::make_unique<feed::Feed>(io, client, options);
        feed->start();
        return feed;
    }

    boost::asio::io_context io;
    Platform platform{io};
    rpc::Client client{io};
    whinledge::test::DiskFolder folders_[3];
    std::shared_ptr<consensus::test::DiskGate> gates[3] = {std::make_shared<consensus::test::DiskGate>(),
                                                           std::make_shared<consensus::test::DiskGate>(),
                                                           std::make_shared<consensus::test::DiskGate>()};
    std::unique_ptr<ControlProcess> processes[3];
};

TEST_F(ControlPlane, OrderIsTakenOnceWhoeverIsAsked) {
    EXPECT_EQ(replace_somewhere(0, 0, configuration(7)), 200);
    EXPECT_EQ(replace(1, 0, configuration(7)), 200) << "the same again";
    EXPECT_EQ(replace(2, 0, configuration(8)), 412);
    EXPECT_EQ(replace(2, 7, configuration(7, 900)), 412) << "the number is taken by another";
    EXPECT_EQ(replace(1, 7, configuration(6)), 400);
    EXPECT_EQ(replace(0, 7, "{"), 400);
    EXPECT_EQ(call(0, "POST /settings/replace", "", configuration(9))->status(), 400) << "builds on nothing";
    EXPECT_EQ(replace(2, 7, configuration(9)), 200);
    EXPECT_EQ(replace(0, 0, configuration(7)), 200) << "known after others were taken";
    for (int i = 0; i < 3; ++i) EXPECT_EQ(call(i, "GET /settings/read")->body(), configuration(9));
}

// Each kind, the version's and those of the body, and a valid one cut short after each of its bytes: refused
// by every process, and what is in force stays.
TEST_F(ControlPlane, InvalidConfigurationsAreRefusedAndChangeNothing) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(7)), 200);
    const Json valid = Json::parse(configuration(9));
    const auto with = [&valid](const char* where, const Json& value) {
        Json changed = valid;
        changed[Json::json_pointer(where)] = value;
        return changed.dump();
    };
    Json same_place = valid;
    same_place["routes"].push_back(valid["routes"][0]);
    const Json no_weight = Json::array({{{"service", "s"}, {"weight", 0}}});
    Json weightless = valid;
    weightless["routes"][0].erase("service");
    weightless["routes"][0]["split"] = no_weight;
    const std::vector<std::pair<std::string, std::string>> invalid{
        {"unknown service", with("/routes/0/service", "nobody")},
        {"two routes at one place", same_place.dump()},
        {"weights that sum to 0", weightless.dump()},
        {"no timeout", with("/routes/0/timeoutMs", 0)},
        {"an older version", configuration(6)},
        {"no version", with("/version", Json())}};
    for (int i = 0; i < 3; ++i) {
        for (const auto& [kind, body] : invalid) EXPECT_EQ(replace(i, 7, body), 400) << kind;
        EXPECT_EQ(replace(i, 7, configuration(7, 900)), 412) << "the current version";
        EXPECT_EQ(replace(i, 6, configuration(9)), 412) << "it builds on another version";
    }
    const std::string whole = valid.dump();
    for (std::size_t length = 0; length < whole.size(); ++length)
        EXPECT_EQ(replace(static_cast<int>(length % 3), 7, whole.substr(0, length)), 400) << length;
    for (int i = 0; i < 3; ++i) EXPECT_EQ(call(i, "GET /settings/read")->body(), configuration(7));
    EXPECT_EQ(replace(0, 7, whole), 200);
}

TEST_F(ControlPlane, WithoutAMajorityItSaysSoInTime) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(1)), 200);
    kill(1);
    kill(2);
    const auto start = std::chrono::steady_clock::now();
    const auto write = call(0, "POST /settings/replace", "Based-On: 1\r\n", configuration(2));
    EXPECT_EQ(write->status(), 503);
    EXPECT_TRUE(write->has("Retry-After: "));
    EXPECT_LT(std::chrono::steady_clock::now() - start, 2500ms) << "700 ms, and what a busy machine adds";
    EXPECT_EQ(call(0, "GET /settings/read")->status(), 503);
    boot(1, false);
    EXPECT_EQ(replace_somewhere(0, 1, configuration(2)), 200);
}

TEST_F(ControlPlane, AllRestartedStillHoldWhatWasTaken) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(1)), 200);
    ASSERT_EQ(replace_somewhere(1, 1, configuration(2)), 200);
    for (int i = 0; i < 3; ++i) kill(i);
    for (int i = 0; i < 3; ++i) boot(i, false);
    std::string body;
    EXPECT_TRUE(runs_until([&] {
        const auto read = call(2, "GET /settings/read");
        body = read->body();
        return read->status() == 200;
    }));
    EXPECT_EQ(body, configuration(2));
    EXPECT_EQ(replace_somewhere(0, 0, configuration(1)), 200) << "taken before the restart";
}

TEST_F(ControlPlane, WatchersHearOfOrdersAndOfTheList) {
    const auto edge = watcher("edge-1", wire::NodeRole::edge, 101);
    ASSERT_EQ(replace_somewhere(0, 0, configuration(4)), 200);
    EXPECT_TRUE(runs_until([&] { return edge->state().version == 4 && edge->confirmed(); }))
        << edge->counters();
    EXPECT_EQ(edge->state().configuration, configuration(4));
    EXPECT_TRUE(runs_until([&] { return edge->servers().servers.size() == 1; })) << edge->counters();
    platform.ids = {"i-1", "i-2"};
    EXPECT_TRUE(runs_until([&] { return edge->servers().servers.size() == 2; })) << edge->counters();
    EXPECT_LT(edge->list_silence_ms(), 3000);
    const auto sequence = edge->servers().sequence;
    const int calls = platform.calls;
    EXPECT_TRUE(runs_until([&] { return platform.calls >= calls + 3; }));
    EXPECT_EQ(edge->servers().sequence, sequence) << "a time that runs down is no change";
}

TEST_F(ControlPlane, OneReadsTheListForAllAndAnotherAfterIt) {
    ASSERT_TRUE(runs_until([&] { return platform.calls >= 2; }));
    const int reader = list_reader();
    ASSERT_GE(reader, 0) << "none or two hold it";
    const auto edge = watcher("edge-1", wire::NodeRole::edge, 101);
    ASSERT_TRUE(runs_until([&] { return !edge->servers().servers.empty(); }));
    const auto term = edge->servers().term;
    kill(reader);
    platform.ids = {"i-9"};
    EXPECT_TRUE(runs_until([&] { return edge->servers().servers.at(0).id == "i-9"; })) << edge->counters();
    EXPECT_GT(edge->servers().term, term);
}

// The reader waits for calls that the platform has none left of; meanwhile the others end, and the lease with
// them. What it then reads is published no more.
TEST_F(ControlPlane, AReadingThatOutlastsItsLeaseIsNotPublished) {
    ASSERT_TRUE(runs_until([&] { return platform.calls >= 2; }));
    const int reader = list_reader();
    ASSERT_GE(reader, 0);
    const auto list = [&] { return page(reader, "/list"); };
    ASSERT_TRUE(runs_until([&] { return list().dump().find("i-1") != std::string::npos; })) << list();
    platform.rate_spent = true;
    const int calls = platform.calls;
    ASSERT_TRUE(runs_until([&] { return platform.calls > calls; })) << "a reading has begun";
    for (int i = 0; i < 3; ++i)
        if (i != reader) kill(i);
    const auto holds = [&] {
        const Json leases = page(reader, "/leases")["leases"];
        return std::any_of(leases.begin(), leases.end(), [](const Json& lease) {
            return lease["lease"] == "servers-list" && lease["own"] == true;
        });
    };
    ASSERT_TRUE(holds());
    const Json before = list();
    ASSERT_TRUE(runs_until([&] { return !holds(); }));
    platform.ids = {"i-late"};
    platform.rate_spent = false;
    const std::string read = readings(reader);
    ASSERT_TRUE(runs_until([&] { return readings(reader) != read; })) << "the reading was still under way";
    EXPECT_EQ(list()["servers"], before["servers"]);
    EXPECT_EQ(list()["sequence"], before["sequence"]);
}

// The disk of whoever reads the list hangs: leases, list, watches, reads and orders go on, at this process as
// well; it votes again once the disk does.
TEST_F(ControlPlane, ADiskThatHangsHoldsUpNothingElse) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(4)), 200);
    const auto edge = watcher("edge-1", wire::NodeRole::edge, 101);
    ASSERT_TRUE(runs_until([&] { return edge->state().version == 4 && !edge->servers().servers.empty(); }));
    const int reader = list_reader(), other = (reader + 1) % 3, third = (reader + 2) % 3;
    ASSERT_GE(reader, 0);
    const auto term = edge->servers().term;
    gates[reader]->hold();
    const int begun = gates[reader]->begun(), ended = gates[reader]->ended();
    EXPECT_EQ(replace(other, 4, configuration(5)), 200);
    ASSERT_TRUE(runs_until([&] { return gates[reader]->begun() > begun; }));
    for (int list = 0; list < 3; ++list) {
        platform.ids = {"i-" + std::to_string(10 + list)};
        EXPECT_TRUE(runs_until([&] { return edge->servers().servers.at(0).id == platform.ids[0]; }));
    }
    EXPECT_TRUE(runs_until([&] { return edge->state().version == 5 && edge->confirmed(); }));
    EXPECT_EQ(replace(reader, 5, configuration(6)), 200);
    EXPECT_TRUE(runs_until([&] { return edge->state().version == 6; }));
    EXPECT_EQ(call(reader, "GET /settings/read")->body(), configuration(6));
    EXPECT_EQ(list_reader(), reader);
    EXPECT_EQ(edge->servers().term, term) << "the lease was never lost";
    EXPECT_EQ(gates[reader]->ended(), ended) << "the disk hung all the time";
    gates[reader]->open();
    ASSERT_TRUE(runs_until([&] { return gates[reader]->ended() > ended; }));
    kill(third);
    EXPECT_EQ(replace_somewhere(other, 6, configuration(7)), 200) << "it votes again";
}

// Without room on the disks of a majority nothing is taken, and what needs no disk is served.
TEST_F(ControlPlane, FullDisksTakeNothingAndTheRestIsServed) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(4)), 200);
    const auto edge = watcher("edge-1", wire::NodeRole::edge, 101);
    ASSERT_TRUE(runs_until([&] { return edge->state().version == 4 && !edge->servers().servers.empty(); }));
    gates[0]->fill();
    EXPECT_EQ(replace(0, 4, configuration(5)), 200) << "the two others are a majority";
    gates[1]->fill();
    const auto order = call(0, "POST /settings/replace", "Based-On: 5\r\n", configuration(6));
    EXPECT_EQ(order->status(), 503);
    EXPECT_TRUE(order->has("Retry-After: "));
    platform.ids = {"i-8"};
    EXPECT_TRUE(runs_until([&] { return edge->servers().servers.at(0).id == "i-8"; }));
    gates[0]->open();
    gates[1]->open();
    EXPECT_EQ(replace_somewhere(0, 5, configuration(6)), 200);
    EXPECT_TRUE(runs_until([&] { return edge->state().version == 6; }));
}

// All processes show whose disk refuses, and that it no longer does, though nothing is ordered meanwhile.
TEST_F(ControlPlane, ADiskThatRefusesIsShownUntilItTakesWritesAgain) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(4)), 200);
    const auto shown = [&](int at) {
        const Json acceptors = page(at, "/acceptors")["acceptors"];
        for (const Json& acceptor : acceptors)
            if (acceptor["node"] == "core-0") return acceptor["takesWrites"];
        return Json();
    };
    for (const int at : {0, 1, 2}) EXPECT_TRUE(runs_until([&] { return shown(at) == true; })) << at;
    gates[0]->fill();
    EXPECT_EQ(replace(1, 4, configuration(5)), 200);
    for (const int at : {0, 1, 2}) EXPECT_TRUE(runs_until([&] { return shown(at) == false; })) << at;
    EXPECT_NE(processes[0]->counters().find("disk_refuses=1 withdrawn=1"), std::string::npos)
        << processes[0]->counters();
    gates[0]->open();
    for (const int at : {0, 1, 2}) EXPECT_TRUE(runs_until([&] { return shown(at) == true; })) << at;
    EXPECT_NE(processes[0]->counters().find("disk_refuses=0 withdrawn=1"), std::string::npos);
    kill(1);
    EXPECT_EQ(replace_somewhere(0, 5, configuration(6)), 200) << "it votes";
}

// It takes calls and answers none: orders are taken all the same, and the list is read once it answers.
TEST_F(ControlPlane, APlatformThatIsSilentAtTheStart) {
    for (int i = 0; i < 3; ++i) kill(i);
    platform.silent = true;
    for (int i = 0; i < 3; ++i) boot(i, false);
    const auto edge = watcher("edge-1", wire::NodeRole::edge, 101);
    EXPECT_EQ(replace_somewhere(0, 0, configuration(4)), 200);
    EXPECT_TRUE(runs_until([&] { return edge->state().version == 4 && edge->confirmed(); }));
    const int calls = platform.calls;
    EXPECT_TRUE(runs_until([&] { return platform.calls >= calls + 2; })) << "it is asked again";
    EXPECT_TRUE(edge->servers().servers.empty());
    platform.silent = false;
    EXPECT_TRUE(runs_until([&] { return edge->servers().servers.size() == 1; })) << edge->counters();
}

// Guards against one request that ended a control process (a node's name with a byte that is no UTF-8).
TEST_F(ControlPlane, BytesThatNoPathMayHaveAreRefused) {
    const std::vector<std::string> names{"\xE9", "storage-\xFF", "\xC3\xA9", "\xED\xA0\x80", "a\x80z"};
    for (std::size_t control = 0; control < 3; ++control)
        for (const std::string& name : names) {
            EXPECT_EQ(call(control, "POST /retire/" + name + "/begin", "", "{}")->status(), 400);
            EXPECT_EQ(call(control, "GET /retire/" + name + "/read")->status(), 400);
            EXPECT_EQ(call(control, "GET /" + name)->status(), 400);
        }
    EXPECT_EQ(call(0, "POST /retire/storage-%E9/begin", "", "{}")->status(), 404);
    EXPECT_EQ(call(0, "POST /settings/replace", "Based-On: \xE9\r\n", "{\"version\":1}")->status(), 400);
    EXPECT_EQ(call(0, "POST /settings/replace", "Based-On: 0\r\n", "{\"\xE9\":1}")->status(), 400);
}

TEST_F(ControlPlane, StorageMapIsFoundedJoinedAndLeft) {
    const auto a = watcher("storage-a", wire::NodeRole::storage, 201);
    const auto b = watcher("storage-b", wire::NodeRole::storage, 202);
    const auto c = watcher("storage-c", wire::NodeRole::storage, 203);
    ASSERT_TRUE(runs_until([&] { return a->state().storage.members.size() == 3; })) << a->counters();
    const auto d = watcher("storage-d", wire::NodeRole::storage, 204);
    ASSERT_TRUE(runs_until([&] { return d->state().storage.members.size() == 4; }));
    EXPECT_EQ(d->state().storage.members[3].state, wire::StorageState::joining);
    EXPECT_EQ(call(0, "POST /retire/storage-x/begin", "", "{}")->status(), 404);
    d->set_storage_note("synced");
    ASSERT_TRUE(
        runs_until([&] { return d->state().storage.members[3].state == wire::StorageState::member; }));
    EXPECT_EQ(call(1, "POST /retire/storage-a/begin", "", R"({"withinS":10})")->status(), 200);
    EXPECT_EQ(call(2, "POST /retire/storage-a/begin", "", R"({"withinS":10})")->status(), 200) << "again";
    EXPECT_EQ(call(0, "GET /retire/storage-a/read")->body(), R"({"state":"serving"})");
    ASSERT_TRUE(
        runs_until([&] { return a->state().storage.members[0].state == wire::StorageState::retiring; }));
    a->set_storage_note("emptied");
    ASSERT_TRUE(runs_until([&] { return b->state().storage.members.size() == 3; }));
    EXPECT_EQ(call(0, "GET /retire/storage-a/read")->body(), R"({"state":"finished"})");
    EXPECT_EQ(call(0, "POST /retire/storage-b/begin", "", "{}")->status(), 409)
        << "two would not bear a loss";
    const auto e = watcher("storage-e", wire::NodeRole::storage, 205);
    ASSERT_TRUE(runs_until([&] { return e->state().storage.members.size() == 4; }));
    EXPECT_EQ(call(0, "POST /retire/storage-b/begin", "", "{}")->status(), 503) << "until it is filled";
    e->set_storage_note("synced");
    ASSERT_TRUE(
        runs_until([&] { return e->state().storage.members[3].state == wire::StorageState::member; }));
    EXPECT_EQ(call(0, "POST /retire/storage-b/begin", "", "{}")->status(), 200);
    ASSERT_TRUE(
        runs_until([&] { return c->state().storage.members[0].state == wire::StorageState::retiring; }));
    EXPECT_EQ(call(1, "POST /retire/storage-c/begin", "", "{}")->status(), 409);
    EXPECT_EQ(page(0, "/replicas")["members"].size(), 4U);
}

// What a storage process tells one control process, the others show as well; of one that tells nothing, an
// earlier build, nothing is made up.
TEST_F(ControlPlane, ReplicasShowWhatMembersHoldAndLack) {
    const auto storage = watcher("storage-a", wire::NodeRole::storage, 201);
    wire::StorageProgress progress;
    progress.held_turns = 900;
    progress.held_bytes = 70'000;
    progress.lacking_turns = 17;
    progress.unfollowed_members = 2;
    progress.taken_bytes = 4096;
    progress.given_bytes = 512;
    progress.paced_replies = 3;
    progress.voting = true;
    storage->storage_progress = [&progress] { return progress; };
    const auto b = watcher("storage-b", wire::NodeRole::storage, 202);
    const auto c = watcher("storage-c", wire::NodeRole::storage, 203);
    ASSERT_TRUE(runs_until([&] { return c->state().storage.members.size() == 3; }));
    const Json shown{{"voting", true},          {"heldTurns", 900},       {"heldBytes", 70'000},
                     {"lackingTurns", 17},      {"unfollowedMembers", 2}, {"repairTakenBytes", 4096},
                     {"repairGivenBytes", 512}, {"repairPacedReplies", 3}};
    const auto rows_as_told = [&](int control) {
        int rows = 0;
        const Json members = page(control, "/replicas")["members"];
        for (const Json& member : members) {
            Json row = shown;
            if (member["node"] != "storage-a")
                for (auto& [name, value] : row.items()) value = nullptr;
            if (!member["heardMsAgo"].is_number()) continue;
            Json expected = member;
            expected.update(row);
            rows += expected == member;
        }
        return rows;
    };
    for (const int control : {0, 1, 2})
        EXPECT_TRUE(runs_until([&] { return rows_as_told(control) == 3; }))
            << control << ": " << page(control, "/replicas");
    progress.lacking_turns = 0;  // asked for anew with each watch
    EXPECT_TRUE(runs_until([&] {
        const Json members = page(0, "/replicas")["members"];
        return std::any_of(members.begin(), members.end(),
                           [](const Json& member) { return member["lackingTurns"] == 0; });
    }));
}

// Guards against calls of the operators' pages that no process takes: POST /rollouts/begin was answered 404,
// so the order had no acknowledgement (SHORT on gebeta-desk-rollout and mvc-relay-rollout).
TEST_F(ControlPlane, EveryCallOfThePagesIsTaken) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(7)), 200);
    const struct {
        const char* head;
        const char* body;
        int status;
        std::vector<std::string> fields;  // of the answer
    } calls[] = {
        {"POST /settings/replace", "{}", 400, {"error"}},
        {"GET /settings/read", "", 200, {"version", "routes", "services"}},
        {"POST /rollouts/begin", R"({"service":"s","newVersion":"v2","withinS":12})", 200, {}},
        {"GET /rollouts/s/read", "", 200, {"state", "newVersion"}},
        {"POST /retire/storage-9/begin", R"({"withinS":10})", 404, {"error"}},
        {"GET /retire/storage-9/read", "", 404, {"error"}},
    };
    for (const auto& one : calls)
        for (int i = 0; i < 3; ++i) {
            SCOPED_TRACE(one.head);
            const auto answer = call(i, one.head, "", one.body);
            EXPECT_EQ(answer->status(), one.status);
            EXPECT_EQ(answer->body().find("no such page"), std::string::npos);
            const Json body = Json::parse(answer->body(), nullptr, false);
            for (const std::string& field : one.fields) EXPECT_TRUE(body.contains(field)) << field;
        }
}

TEST_F(ControlPlane, RolloutsAreBegunOnceAndReadAtAnyProcess) {
    const std::string order = R"({"service":"s","newVersion":"v2","withinS":60})";
    EXPECT_EQ(begin_rollout_somewhere(0, order), 503) << "no configuration has been taken";
    ASSERT_EQ(replace_somewhere(0, 0, configuration(7)), 200);
    EXPECT_EQ(call(0, "GET /rollouts/s/read")->status(), 404) << "there has been none";
    ASSERT_EQ(begin_rollout_somewhere(0, order), 200);
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(begin_rollout(i, order), 200) << "the same again, at another process";
        const auto read = call(i, "GET /rollouts/s/read");
        EXPECT_EQ(Json::parse(read->body()), Json({{"state", "serving"}, {"newVersion", "v2"}}));
    }
    EXPECT_EQ(begin_rollout(1, R"({"service":"s","newVersion":"v3","withinS":60})"), 409);
    EXPECT_EQ(begin_rollout(1, R"({"service":"nobody","newVersion":"v2","withinS":60})"), 404);
    EXPECT_EQ(begin_rollout(1, R"({"service":"s","newVersion":"v2"})"), 400);
    EXPECT_EQ(page(2, "/rollouts")["rollouts"].size(), 1U);
}

TEST_F(ControlPlane, RolloutsSurviveTheEndOfAllProcesses) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(7)), 200);
    ASSERT_EQ(begin_rollout_somewhere(0, R"({"service":"s","newVersion":"v2","withinS":60})"), 200);
    for (int i = 0; i < 3; ++i) kill(i);
    for (int i = 0; i < 3; ++i) boot(i, false);
    int status = 0;
    EXPECT_TRUE(runs_until([&] { return (status = call(1, "GET /rollouts/s/read")->status()) != 503; }));
    EXPECT_EQ(status, 200);
    EXPECT_EQ(begin_rollout_somewhere(2, R"({"service":"s","newVersion":"v2","withinS":60})"), 200);
}

// That no proxy tells of traffic does not mean that there is none: the old servers must not stop.
TEST_F(ControlPlane, ARolloutOfWhichNoProxyTellsIsRevertedByItsDeadline) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(7)), 200);
    ASSERT_EQ(begin_rollout_somewhere(0, R"({"service":"s","newVersion":"v2","withinS":2})"), 200);
    std::string state;
    EXPECT_TRUE(runs_until([&] {
        const auto read = call(1, "GET /rollouts/s/read");
        if (read->status() == 200) state = Json::parse(read->body())["state"];
        return state == "finished" || state == "reverted";
    }));
    EXPECT_EQ(state, "reverted");
}

TEST_F(ControlPlane, WithoutAMajorityRolloutsAreNeitherBegunNorRead) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(7)), 200);
    ASSERT_EQ(begin_rollout_somewhere(0, R"({"service":"s","newVersion":"v2","withinS":60})"), 200);
    kill(1);
    kill(2);
    EXPECT_EQ(call(0, "GET /rollouts/s/read")->status(), 503);
    EXPECT_EQ(begin_rollout(0, R"({"service":"s","newVersion":"v2","withinS":60})"), 503);
}

TEST_F(ControlPlane, PagesAreThere) {
    ASSERT_EQ(replace_somewhere(0, 0, configuration(1)), 200);
    EXPECT_EQ(page(0, "/status")["version"], 1);
    EXPECT_TRUE(runs_until([&] { return page(0, "/members")["members"].size() == 2; }));
    EXPECT_EQ(page(0, "/members")["acceptors"].size(), 3U);
    EXPECT_TRUE(runs_until([&] { return page(0, "/acceptors")["present"] == 3; }));
    EXPECT_EQ(page(0, "/acceptors")["majority"], 2);
    EXPECT_EQ(page(0, "/acceptors")["acceptors"].size(), 3U);
    EXPECT_EQ(page(0, "/overlay")["running"], false);
    EXPECT_EQ(page(0, "/openings")["nodes"], 0);
    EXPECT_TRUE(page(0, "/openings")["openings"].empty());
    EXPECT_TRUE(runs_until([&] { return page(1, "/list")["servers"].size() == 1; }));
    EXPECT_EQ(page(1, "/list")["servers"][0]["id"], "i-1");
    EXPECT_EQ(page(1, "/list")["alive"], true);
    EXPECT_EQ(call(0, "GET /nothing")->status(), 404);
    EXPECT_EQ(call(0, "POST /settings/read")->status(), 404);
}

TEST_F(ControlPlane, StopAnswersWatchersAndLetsLeasesGo) {
    const auto edge = watcher("edge-1", wire::NodeRole::edge, 101);
    ASSERT_TRUE(runs_until([&] { return !edge->servers().servers.empty(); }));
    const auto start = std::chrono::steady_clock::now();
    int stopped = 0;
    for (const auto& process : processes) process->stop([&] { ++stopped; });
    EXPECT_TRUE(runs_until([&] { return stopped == 3; }));
    EXPECT_LT(std::chrono::steady_clock::now() - start, 1s);
}

}  // namespace
}  // namespace whinledge::control_plane
