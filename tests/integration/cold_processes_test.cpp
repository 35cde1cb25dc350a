// Rule 4 by 30 real processes: what all of them together send to servers that start, counted at the servers,
// against the budget N and the 2 x root of N + 2 that are left to chance. One process in ten has several
// times the traffic of the others, a third of them is killed and started again, and no datagram goes between
// them.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <random>

#include "rig/net_rig.hpp"
#include "rig/own_address.hpp"

namespace whinledge::test {
namespace {

using Clock = std::chrono::steady_clock;

// So few cold ones that an even share of the traffic would be more than each of them bears.
constexpr std::size_t kProcesses = 30, kWarm = 6, kCold = 3;
constexpr double kAble = 40;  // requests in a second that a warm server can do: what is asked for of each
constexpr double kColdFrom = 0.16, kWarmWithin = 20, kFall = 2.5;

double unix_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct ColdServer {
    explicit ColdServer(asio::io_context& io)
        : server(io, [this](const auto&) {
              arrived();
              return Reply{response("200 OK", "served"), false, false, 20};
          }) {}
    // N, at its present age.
    double budget() const {
        const double age = (unix_ms() - started) / 1000 / kWarmWithin;
        return kFall * kAble * std::min(1.0, kColdFrom + (1 - kColdFrom) * age);
    }
    void arrived() {
        const auto now = Clock::now();
        ++all;
        window.push_back(now);
        while (window.front() <= now - std::chrono::seconds(1)) window.pop_front();
        const double n = budget(), sent = static_cast<double>(window.size());
        excess = std::max(excess, (sent - n) / std::sqrt(n));
        beyond = std::max(beyond, sent - n - 2 * std::sqrt(n) - 2);
    }
    double started = 0, excess = -1e9, beyond = -1e9;
    int all = 0;
    std::deque<Clock::time_point> window;
    ScriptedServer server;
};

struct Process {
    pid_t pid = 0;
    Tcp::endpoint listen;
    double rate = 0;  // requests in a second
    double due = 0;   // of them, by now
    struct Connection {
        std::unique_ptr<TestClient> client;
        std::size_t sent = 0;
        bool free() const { return !client->ended && client->answers.size() == sent; }
    };
    std::list<Connection> connections;
};

struct ColdProcesses : testing::Test {
    asio::io_context io;
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("whinledge-cold-" + std::to_string(::getpid()));
    std::list<ScriptedServer> warm;
    std::list<ColdServer> cold;
    // Holds its watches, and tells at once who has yet to hear, or asks for what is known without a wait.
    ScriptedServer agent{io, [this](const ScriptedServer::Request& call) {
                             const auto asks = [&](const char* what) {
                                 return call.target().find(what) != boost::beast::string_view::npos;
                             };
                             if (told && asks("from=41&")) return Reply{response("200 OK", list())};
                             return asks("hold_ms=0") ? Reply{response("200 OK", unchanged())} : Reply{};
                         }};
    std::vector<Process> processes;
    std::mt19937_64 random{28};
    std::size_t next_id = 0, asked = 0;
    bool told = false;

    ColdProcesses() { std::filesystem::create_directories(folder); }
    ~ColdProcesses() override {
        for (Process& p : processes)
            if (p.pid > 0) end(p);
        std::filesystem::remove_all(folder);
    }
    static void end(Process& p) {
        ::kill(p.pid, SIGKILL);
        ::waitpid(std::exchange(p.pid, 0), nullptr, 0);
        p.connections.clear();
    }
    std::string unchanged() const { return list_json(told ? 42 : 41, false, {}); }
    std::string list() const {
        std::string text = "{\"version\":" + std::to_string(told ? 42 : 41) + ",\"full\":true,\"servers\":[";
        std::size_t n = 0;
        const auto add = [&](const std::string& address, double started) {
            text += std::string(n ? "," : "") + "{\"id\":\"s-" + std::to_string(n) + "\",\"addr\":\"" +
                    address +
                    "\",\"zone\":\"hall-a\",\"kind\":\"standard-4\",\"cell\":0,\"state\":\"Ready\"," +
                    "\"weight\":1.0,\"started_ms\":" + std::to_string(static_cast<long long>(started)) + "}";
            ++n;
        };
        for (const ScriptedServer& s : warm) add(s.address(), 0);
        for (const ColdServer& s : cold)
            if (told) add(s.server.address(), s.started);
        return text + "]}";
    }
    void start(std::size_t i) {
        Process& p = processes[i];
        std::string config = config_json(agent.address(), list(), "256", text_of(p.listen));
        const auto put = [&](const std::string& what, const std::string& by) {
            const auto at = config.find(what);
            ASSERT_NE(at, std::string::npos) << what;
            config.replace(at, what.size(), by);
        };
        put("\"siblings\":3",
            "\"siblings\":" + std::to_string(kProcesses) + ",\"my-number\":" + std::to_string(i));
        put("\"fall-multiple\":2.0", "\"fall-multiple\":2.5");
        put("8c1f30d27a5be964", "8c1f30d27a5be" + std::to_string(100 + i));
        const std::string file = (folder / ("config-" + std::to_string(i))).string(), log = file + ".log";
        std::ofstream(file) << config;
        p.pid = ::fork();
        if (p.pid != 0) return;
        ::setenv("LB_CONFIG", file.c_str(), 1);
        if (!std::freopen(log.c_str(), "w", stderr)) ::_exit(126);
        ::close_range(3, ~0U, 0);  // it holds none of our connections open
        ::execl(WHINLEDGE, WHINLEDGE, static_cast<char*>(nullptr));
        ::_exit(127);
    }
    void connect(Process& p) {
        p.connections.clear();
        run_until(io, [&] {
            try {
                while (p.connections.size() < 4)
                    p.connections.push_back({std::make_unique<TestClient>(io, p.listen), 0});
                return true;
            } catch (const boost::system::system_error&) {
                return false;
            }
        });
    }
    void ask(Process& p) {
        for (Process::Connection& c : p.connections) {
            if (!c.free()) continue;
            ++c.sent, ++asked;
            c.client->send(request("listen", "id-" + std::to_string(++next_id), 1000));
            return;
        }
    }
    // Traffic for so long, as it comes at random to each process by its rate.
    void play(std::chrono::milliseconds span) {
        const auto until = Clock::now() + span;
        auto last = Clock::now();
        while (Clock::now() < until) {
            io.restart();
            io.run_for(std::chrono::milliseconds(4));
            const double passed = std::chrono::duration<double>(Clock::now() - last).count();
            last = Clock::now();
            for (Process& p : processes) {
                std::poisson_distribution<int> arrivals(p.rate * passed);
                for (int n = p.pid > 0 ? arrivals(random) : 0; n > 0; --n) ask(p);
            }
        }
    }
    std::size_t watches() const {
        std::size_t open = 0;
        for (const auto& c : agent.connections) open += c->requests > 0 && !c->ended;
        return open;
    }
};

TEST_F(ColdProcesses, TheSumOverThirtyKeepsTheBudgetOfEveryColdServer) {
    const auto serve = [](const auto&) { return Reply{response("200 OK", "served"), false, false, 20}; };
    for (std::size_t i = 0; i < kWarm; ++i) warm.emplace_back(io, serve);
    for (std::size_t i = 0; i < kCold; ++i) cold.emplace_back(io);
    processes.resize(kProcesses);
    // Ports all at once, on a loopback address of this test's own: nobody else takes one before its process
    // listens.
    std::list<Tcp::acceptor> ports;
    for (Process& p : processes)
        p.listen = ports.emplace_back(io, Tcp::endpoint(own_address(0), 0)).local_endpoint();
    ports.clear();
    for (std::size_t i = 0; i < kProcesses; ++i) {
        processes[i].rate = kWarm * kAble / kProcesses * (i % 10 == 3 ? 5 : 5.0 / 9);
        start(i);
    }
    for (Process& p : processes) connect(p);
    run_until(io, [&] { return watches() >= kProcesses; });
    play(std::chrono::milliseconds(3000));

    told = true;
    for (ColdServer& s : cold) s.started = unix_ms();
    const std::size_t open = agent.connections.size();
    for (std::size_t i = 0; i < open; ++i)
        if (!agent.connections[i]->ended) agent.send(i, response("200 OK", list()));
    play(std::chrono::milliseconds(1500));
    // A third knows nothing any more, in the middle of it.
    for (std::size_t i = 0; i < kProcesses; i += 3) end(processes[i]), start(i);
    for (std::size_t i = 0; i < kProcesses; i += 3) connect(processes[i]);
    play(std::chrono::milliseconds(3500));

    double excess = -1e9;
    int all = 0;
    for (const ColdServer& s : cold) {
        EXPECT_LE(s.beyond, 0) << "over N + 2 x root of N + 2";
        excess = std::max(excess, s.excess), all += s.all;
    }
    std::printf("%zu starts: largest (sum - N) / root N %.2f; %d of %zu requests went to cold servers\n",
                kCold, excess, all, asked);
    EXPECT_GT(all, static_cast<int>(kCold) * 10) << "the case was caused";
}

}  // namespace
}  // namespace whinledge::test
