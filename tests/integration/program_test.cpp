// The configuration, and the program as the platform starts and ends it.
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "rig/net_rig.hpp"
#include "rig/own_address.hpp"

namespace whinledge::test {
namespace {

const std::string good =
    config_json("127.0.0.1:9", list_json(41, true, {{"s-a", "127.0.0.1:9", "Terminating"}}));

std::string replaced(std::string text, const std::string& what, const std::string& by) {
    const auto at = text.find(what);
    EXPECT_NE(at, std::string::npos) << what;
    return text.replace(at, what.size(), by);
}

TEST(Configuration, IsReadWithItsSettings) {
    const Config config = read_config(good);
    EXPECT_EQ(config.name, "n1");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.discovery.port(), 9);
    EXPECT_EQ(config.connect_timeout, 150);
    EXPECT_TRUE(config.may_tell);
    ASSERT_EQ(config.site.settings.classes.size(), 3u);
    EXPECT_EQ(config.site.settings.classes[1].effect, Effect::once);
    EXPECT_EQ(config.site.settings.classes[2].dedup_scope, DedupScope::all);
    EXPECT_EQ(config.site.settings.classes[2].dedup_window, 3000);
    EXPECT_EQ(config.site.settings.cold_from, 0.16);
    EXPECT_EQ(config.site.settings.siblings, 3u);
    EXPECT_EQ(config.site.zones.at(1), "hall-b");
    EXPECT_FALSE(config.site.settings.list_on_request);
    ASSERT_EQ(config.known.members.size(), 1u);
    EXPECT_EQ(config.known.members[0].phase, Phase::fading);
}

TEST(Configuration, NamesTheKeyThatIsWrong) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {replaced(good, "\"seed\":\"8c", "\"seed\":\"xy"), "seed"},
        {replaced(good, "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "listen"},
        {replaced(good, "\"listen\"", "\"unlisten\""), "listen"},
        {replaced(good, "\"name\":\"n1\"", "\"name\":7"), "name"},
        {replaced(good, "\"known\"", "\"unknown\""), "known"},
        {replaced(good, "\"effect\":\"once\"", "\"effect\":\"twice\""), "classes.1.effect"},
        {replaced(good, "\"on-time-ms\":300.0", "\"on-time-ms\":\"soon\""), "classes.1.on-time-ms"},
        {replaced(good, "\"settings\"", "\"unsettled\""), "settings"}};
    for (const auto& [text, key] : cases) try {
            read_config(text);
            FAIL() << "taken: " << key;
        } catch (const ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find("'" + key + "'"), std::string::npos) << error.what();
        }
    EXPECT_THROW(read_config("{\"name\""), ConfigError);
}

struct Program : testing::Test {
    pid_t running = -1;
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("whinledge-test-" + std::to_string(::getpid()));
    Program() { std::filesystem::create_directories(folder); }
    // A program that outlives its test holds ctest's pipe, and ctest waits for it for ever.
    ~Program() override {
        if (running > 0) {
            ::kill(running, SIGKILL);
            ::waitpid(running, nullptr, 0);
        }
        std::filesystem::remove_all(folder);
    }

    // Starts the program with its log in a file.
    pid_t start(const std::string& config) {
        std::ofstream(folder / "config.json") << config;
        running = ::fork();
        if (running != 0) return running;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("LB_CONFIG", (folder / "config.json").c_str(), 1);
        if (!std::freopen((folder / "log").c_str(), "w", stderr)) ::_exit(126);
        ::execl(WHINLEDGE, WHINLEDGE, static_cast<char*>(nullptr));
        ::_exit(127);
    }
    // Waits until the program is up.
    static void connect(asio::io_context& io, std::optional<TestClient>& client, const Tcp::endpoint& to) {
        run_until(io, [&] {
            try {
                client.emplace(io, to);
                return true;
            } catch (const boost::system::system_error&) {
                return false;
            }
        });
    }
    int status_of(pid_t child) {
        int status = 0;
        ::waitpid(child, &status, 0);
        if (child == running) running = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
};

TEST_F(Program, EndsWithOneLineWhenItsConfigurationIsWrong) {
    EXPECT_EQ(status_of(start(replaced(good, "\"seed\"", "\"unseeded\""))), 1);
    std::ifstream log(folder / "log");
    std::string line, more;
    std::getline(log, line);
    EXPECT_NE(line.find("'seed'"), std::string::npos) << line;
    EXPECT_FALSE(std::getline(log, more)) << more;
}

TEST_F(Program, FinishesItsWorkOnSigtermAndExitsWithZero) {
    asio::io_context io;
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    const Tcp::endpoint listen = own_endpoint(io, 0);
    const pid_t child = start(config_json(server.address(), list_json(1, true, {{"s-a", server.address()}}),
                                          "1024", text_of(listen)));
    std::optional<TestClient> client;
    connect(io, client, listen);
    client->send(request("listen", "id-1"));
    const auto held = [&] {
        for (std::size_t i = 0; i < server.connections.size(); ++i)
            if (const auto& c = server.connections[i]; c->requests > 0 && !c->ended) {
                for (const auto& r : server.requests)
                    if (r["Request-Id"] == "id-1") return true;
            }
        return false;
    };
    run_until(io, held);
    ::kill(child, SIGTERM);
    std::optional<TestClient> late;
    late.emplace(io, listen);
    late->send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    run_until(io, [&] { return late->ended; });  // answered with the connection's end: it drains
    EXPECT_EQ(late->answers.size(), 1u);
    for (std::size_t i = 0; i < server.connections.size(); ++i)  // the agent's and the server's alike
        server.send(i, response("200 OK", "held"));
    run_until(io, [&] { return client->ended; });
    ASSERT_EQ(client->answers.size(), 1u);
    EXPECT_EQ(client->answers[0].body(), "held");
    EXPECT_EQ(status_of(child), 0);
}

// The second SIGTERM is not swallowed: what is open fails at once, and the program ends.
TEST_F(Program, ASecondSigtermHurries) {
    asio::io_context io;
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    const Tcp::endpoint listen = own_endpoint(io, 0);
    const pid_t child = start(config_json(server.address(), list_json(1, true, {{"s-a", server.address()}}),
                                          "1024", text_of(listen)));
    std::optional<TestClient> client, late;
    connect(io, client, listen);
    client->send(request("deposit", "id-1", 60000));
    run_until(io, [&] {
        return std::any_of(server.requests.begin(), server.requests.end(),
                           [](const auto& r) { return r["Request-Id"] == "id-1"; });
    });
    ::kill(child, SIGTERM);
    late.emplace(io, listen);
    late->send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    run_until(io, [&] { return late->ended; });  // it drains by now
    EXPECT_TRUE(client->answers.empty());
    ::kill(child, SIGTERM);
    run_until(io, [&] { return client->ended; });
    ASSERT_EQ(client->answers.size(), 1u);
    EXPECT_EQ(client->answers[0].result_int(), 502u);
    EXPECT_EQ(status_of(child), 0);
}

// SIGHUP without a handler ends the program. It reads the file again and moves to the discovery named there;
// a file that is wrong costs one line in the log; the hangups of a program that drains are harmless.
TEST_F(Program, ReadsItsConfigurationAnewOnSighup) {
    asio::io_context io;
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK", "served")}; });
    // Holds a watch, and has nothing new.
    const ScriptedServer::Script hold = [&](const auto& r) {
        const bool whole = r.target().find("from=") == boost::beast::string_view::npos;
        if (!whole && r.target().find("hold_ms=0") == boost::beast::string_view::npos) return Reply{};
        return Reply{response("200 OK", list_json(7, whole, {{"s-a", server.address()}}))};
    };
    ScriptedServer before(io, hold), after(io, hold);
    const Tcp::endpoint listen = own_endpoint(io, 0);
    const auto config = [&](const ScriptedServer& discovery) {
        return config_json(discovery.address(), list_json(7, true, {{"s-a", server.address()}}), "1024",
                           text_of(listen));
    };
    const pid_t child = start(config(before));
    std::optional<TestClient> client;
    connect(io, client, listen);
    run_until(io, [&] { return before.requests.size() == 2; });

    std::ofstream(folder / "config.json") << "{\"name\"";
    ::kill(child, SIGHUP);
    const auto log = [&] {
        std::ifstream file(folder / "log");
        return std::string(std::istreambuf_iterator<char>(file), {});
    };
    run_until(io, [&] { return log().find("the old configuration stays") != std::string::npos; });
    EXPECT_EQ(before.ended(), 0u);

    std::ofstream(folder / "config.json") << config(after);
    ::kill(child, SIGHUP);
    ::kill(child, SIGHUP);
    run_until(io, [&] { return !after.requests.empty() && before.ended() == 1; });
    client->send(request("listen", "id-1"));
    run_until(io, [&] { return !client->answers.empty(); });
    EXPECT_EQ(client->answers.at(0).body(), "served");
    ::kill(child, SIGTERM);
    ::kill(child, SIGHUP);
    EXPECT_EQ(status_of(child), 0);
    EXPECT_EQ(after.connections.size(), 1u);
}

}  // namespace
}  // namespace whinledge::test
