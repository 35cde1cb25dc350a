// LDAP through the daemon and past it, in one run: operations a second, CPU time and latency with one and
// with many operations side by side; lookups in time while one of three servers is frozen; memory of idle
// connections.
//   ldap_bench throughput PROGRAM DIRECTORY ROUNDS SECONDS
//   ldap_bench frozen PROGRAM DIRECTORY SECONDS
//   ldap_bench idle PROGRAM DIRECTORY CONNECTIONS
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

// clang-format off
#include <utility>  // ahead of Asio 1.74, which forgets it
#include <boost/asio.hpp>
// clang-format on

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ldap_codec/message.hpp"

namespace {

namespace asio = boost::asio;
namespace ldap = whinledge::ldap;
using Tcp = asio::ip::tcp;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

constexpr const char* kBase = "dc=example,dc=org";
constexpr int kEntries = 1000;

double ms(Steady::duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

// ---- Processes

struct Process {
    explicit Process(const std::vector<std::string>& words) {
        std::vector<char*> argv;
        for (const std::string& word : words) argv.push_back(const_cast<char*>(word.c_str()));
        argv.push_back(nullptr);
        std::fflush(stdout);
        id = ::fork();
        if (id != 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        std::freopen("/dev/null", "w", stdout);
        std::freopen("/dev/null", "w", stderr);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    ~Process() {
        ::kill(id, SIGCONT);
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
    }
    // Seconds of CPU until now.
    double cpu() const {
        std::ifstream file("/proc/" + std::to_string(id) + "/stat");
        std::string line;
        std::getline(file, line);
        line.erase(0, line.rfind(')') + 2);
        long user = 0, system = 0;
        std::sscanf(line.c_str(), "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &user, &system);
        return static_cast<double>(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }
    long resident_kib() const {
        std::ifstream file("/proc/" + std::to_string(id) + "/statm");
        long whole = 0, resident = 0;
        file >> whole >> resident;
        return resident * ::sysconf(_SC_PAGESIZE) / 1024;
    }
    pid_t id = -1;
};

std::uint16_t free_port() {
    static unsigned next = static_cast<unsigned>(::getpid()) * 31;
    asio::io_context io;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(10000 + ++next % 20000);
        Tcp::acceptor probe(io, Tcp::v4());
        error_code taken;
        probe.bind({asio::ip::address_v4::loopback(), port}, taken);
        if (!taken) return port;
    }
}
Tcp::endpoint at(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }
void wait_for(std::uint16_t port) {
    asio::io_context io;
    for (int i = 0; i < 1000; ++i) {
        Tcp::socket socket(io);
        error_code failed;
        socket.connect(at(port), failed);
        if (!failed) return;
        ::usleep(5000);
    }
    std::fprintf(stderr, "nobody listens on %u\n", port);
    std::exit(1);
}

struct Setting {
    std::vector<std::uint16_t> ports;
    std::list<Process> servers;
    std::uint16_t listen = free_port();
    std::optional<Process> daemon;
    std::string file = "/tmp/ldap_bench." + std::to_string(::getpid());

    Setting(const std::string& program, const std::string& directory, int count, bool proxied,
            const std::string& delay = "0") {
        for (int i = 0; i < count; ++i) {
            ports.push_back(free_port());
            servers.emplace_back(std::vector<std::string>{directory, std::to_string(ports.back()),
                                                          std::to_string(kEntries), delay});
            wait_for(ports.back());
        }
        std::string list;
        for (const auto port : ports)
            list += (list.empty() ? "\"127.0.0.1:" : ", \"127.0.0.1:") + std::to_string(port) + "\"";
        std::ofstream(file + ".password") << "service\n";
        std::ofstream(file + ".toml")
            << "[process]\ndescriptors = 4096\n[[listener]]\nname = \"edge\"\nprofile = \"ldap\"\naddress = "
               "\"127.0.0.1:"
            << listen << "\"\n[pool.people]\nprotocol = \"ldap\"\n[pool.people.ldap]\n"
            << (proxied ? "identity = \"proxied\"\nservice = \"cn=service,dc=example,dc=org\"\npassword_file "
                          "= \"" +
                              file + ".password\"\n"
                        : "identity = \"connection\"\n")
            << "[pool.people.members]\nsource = \"list\"\nlist = [" << list
            << "]\n[[pool.people.class]]\nname = \"safe\"\neffect = \"safe\"\naim = "
               "\"200ms\"\n[[pool.people.class]]\n"
               "name = \"unsafe\"\neffect = \"unsafe\"\naim = \"400ms\"\n"
            << "[[ldap_route]]\nname = \"all\"\npool = \"people\"\n[ldap_route.handling]\ntimeout = \"1s\"\n";
        daemon.emplace(std::vector<std::string>{program, "--config", file + ".toml"});
        wait_for(listen);
    }
    ~Setting() {
        std::remove((file + ".toml").c_str());
        std::remove((file + ".password").c_str());
    }
};

// ---- Clients

// The tail of a lookup of one entry.
const ldap::Bytes& lookup(int number) {
    static std::vector<ldap::Bytes> all;
    if (all.empty())
        for (int i = 0; i < kEntries; ++i) {
            ldap::BerWriter to;
            to.begin(0x63).octets("uid=u" + std::to_string(i) + ",ou=people," + kBase);
            to.number(0, 0x0a).number(0, 0x0a).number(0).number(0).boolean(false).octets("objectClass", 0x87);
            all.push_back(to.begin(0x30).end().end().take());
        }
    return all[static_cast<std::size_t>(number) % kEntries];
}

// One connection with so many lookups side by side, each followed by the next.
struct Load {
    std::vector<double> latencies;
    std::size_t good = 0, bad = 0;
};
struct Connection : std::enable_shared_from_this<Connection> {
    Connection(asio::io_context& io, const Tcp::endpoint& to, Load& l, int side) : socket(io), load(l) {
        socket.connect(to);
        socket.set_option(Tcp::no_delay(true));
        beside = side;
    }
    void start() {
        for (int i = 0; i < beside; ++i) send();
        flush();
        read();
    }
    void send() {
        const ldap::MessageId id = next++;
        out.append(ldap::with_id(id, lookup(id * 7)));
        sent[id] = Steady::now();
    }
    void flush() {
        if (writing || out.empty()) return;
        writing = true;
        const auto bytes = std::make_shared<std::string>(std::move(out));
        out.clear();
        asio::async_write(socket, asio::buffer(*bytes),
                          [self = shared_from_this(), bytes](error_code failed, std::size_t) {
                              self->writing = false;
                              if (!failed) self->flush();
                          });
    }
    void read() {
        socket.async_read_some(asio::buffer(buffer),
                               [self = shared_from_this()](error_code failed, std::size_t size) {
                                   if (failed) return;
                                   self->in.append(self->buffer.data(), size);
                                   self->parse();
                                   self->flush();
                                   self->read();
                               });
    }
    void parse() {
        std::string_view rest = in;
        for (;;) {
            const auto framed = ldap::frame(rest, 1 << 20);
            if (framed.found != ldap::Framed::Found::whole) break;
            const auto read = ldap::read_message(rest.substr(0, framed.size), {});
            const auto& message = std::get<ldap::Message>(read);
            if (message.op == ldap::Op::search_done) {
                const auto begun = sent.find(message.id);
                const auto answer = ldap::read_response(message, {});
                const bool good = std::get<ldap::Response>(answer).code == ldap::success;
                good ? ++load.good : ++load.bad;
                if (good) load.latencies.push_back(ms(Steady::now() - begun->second));
                sent.erase(begun);
                send();
            }
            rest.remove_prefix(framed.size);
        }
        in.erase(0, in.size() - rest.size());
    }
    Tcp::socket socket;
    Load& load;
    int beside = 1;
    ldap::MessageId next = 1;
    std::unordered_map<ldap::MessageId, Steady::time_point> sent;
    std::string in, out;
    std::array<char, 65536> buffer;
    bool writing = false;
};

double percentile(std::vector<double>& all, double share) {
    if (all.empty()) return 0;
    std::sort(all.begin(), all.end());
    return all[std::min(all.size() - 1, static_cast<std::size_t>(share * static_cast<double>(all.size())))];
}

void throughput(const std::string& program, const std::string& directory, int rounds, double seconds) {
    for (const bool proxied : {false, true}) {
        Setting setting(program, directory, 1, proxied);
        for (const int beside : {1, 64}) {
            struct Sums {
                std::vector<double> rate, cpu, p50, p99;
            } direct, through;
            for (int round = 0; round < rounds; ++round)
                for (const bool past : {true, false}) {
                    asio::io_context io(1);
                    Load load;
                    std::make_shared<Connection>(io, at(past ? setting.ports[0] : setting.listen), load,
                                                 beside)
                        ->start();
                    io.run_for(std::chrono::milliseconds(200));  // warm
                    load = {};
                    const double before = setting.daemon->cpu();
                    const auto begun = Steady::now();
                    io.restart();
                    io.run_for(std::chrono::milliseconds(static_cast<int>(1000 * seconds)));
                    const double took = ms(Steady::now() - begun) / 1000;
                    Sums& to = past ? direct : through;
                    to.rate.push_back(static_cast<double>(load.good) / took);
                    to.cpu.push_back(1e6 * (setting.daemon->cpu() - before) /
                                     static_cast<double>(std::max<std::size_t>(1, load.good)));
                    to.p50.push_back(percentile(load.latencies, 0.5));
                    to.p99.push_back(percentile(load.latencies, 0.99));
                    if (load.bad > 0) std::printf("%zu lookups were not served\n", load.bad);
                }
            const auto median = [](std::vector<double>& all) { return percentile(all, 0.5); };
            std::printf(
                "%s, %2d side by side: direct %6.0f/s p50 %.3f ms p99 %.3f ms; through %6.0f/s p50 %.3f ms "
                "p99 %.3f ms, "
                "%.1f us of CPU each; rate %.2f, p99 %.2f\n",
                proxied ? "proxied   " : "connection", beside, median(direct.rate), median(direct.p50),
                median(direct.p99), median(through.rate), median(through.p50), median(through.p99),
                median(through.cpu), median(through.rate) / median(direct.rate),
                median(through.p99) / median(direct.p99));
        }
    }
}

// ---- One of three frozen

// Asks at its moments; a lookup that is not answered in time is lost, and its connection is given up.
class Caller {
public:
    enum class How { through, in_order, rotating };
    Caller(asio::io_context& io, const std::vector<Tcp::endpoint>& servers, How how, int number)
        : io_(io),
          servers_(servers),
          how_(how),
          at_(how == How::rotating ? static_cast<std::size_t>(number) : 0),
          pause_(io),
          limit_(io),
          socket_(io) {}
    void ask(Steady::time_point due, Steady::time_point until) {
        if (due >= until) return;
        pause_.expires_at(due);
        pause_.async_wait([this, due, until](error_code cancelled) {
            if (cancelled) return;
            ++asked;
            one([this, due, until](bool good) {
                served += good;
                ask(std::max(due + kEach, Steady::now()), until);
            });
        });
    }
    std::size_t asked = 0, served = 0;

private:
    static constexpr std::chrono::milliseconds kEach{20}, kPatience{500};
    void one(std::function<void(bool)> done) {
        done_ = std::move(done);
        limit_.expires_after(kPatience);
        limit_.async_wait([this, turn = turn_](error_code cancelled) {
            if (!cancelled && turn == turn_) end(false);
        });
        if (socket_.is_open()) return send();
        const std::size_t which = at_ % servers_.size();
        socket_.async_connect(servers_[which], [this, turn = turn_](error_code failed) {
            if (turn != turn_) return;
            if (failed) return end(false);
            socket_.set_option(Tcp::no_delay(true));
            in_.clear();
            send();
        });
    }
    void send() {
        ++id_;
        out_ = std::string(ldap::with_id(id_, lookup(id_)));
        asio::async_write(socket_, asio::buffer(out_), [](error_code, std::size_t) {});
        read();
    }
    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [this, turn = turn_](error_code failed, std::size_t size) {
                                    if (turn != turn_) return;
                                    if (failed) return end(false);
                                    in_.append(buffer_.data(), size);
                                    for (;;) {
                                        const auto framed = ldap::frame(in_, 1 << 20);
                                        if (framed.found != ldap::Framed::Found::whole) return read();
                                        const std::string whole = in_.substr(0, framed.size);
                                        in_.erase(0, framed.size);
                                        const auto message = ldap::read_message(whole, {});
                                        const auto& m = std::get<ldap::Message>(message);
                                        if (m.op != ldap::Op::search_done || m.id != id_) continue;
                                        const auto answer = ldap::read_response(m, {});
                                        return end(std::get<ldap::Response>(answer).code == ldap::success);
                                    }
                                });
    }
    void end(bool good) {
        ++turn_;
        limit_.cancel();
        if (!good) {
            error_code ignored;
            socket_.close(ignored);
            socket_ = Tcp::socket(io_);
            if (how_ == How::rotating) ++at_;  // the next of its list; in order it begins at the first again
        }
        const auto done = std::exchange(done_, nullptr);
        done(good);
    }

    asio::io_context& io_;
    std::vector<Tcp::endpoint> servers_;
    How how_;
    std::size_t at_;
    asio::steady_timer pause_, limit_;
    Tcp::socket socket_;
    std::function<void(bool)> done_;
    std::size_t turn_ = 0;
    ldap::MessageId id_ = 0;
    std::string in_, out_;
    std::array<char, 16384> buffer_;
};

void frozen(const std::string& program, const std::string& directory, double seconds) {
    Setting setting(program, directory, 3, true, "2");
    std::vector<Tcp::endpoint> servers;
    for (const auto port : setting.ports) servers.push_back(at(port));
    asio::io_context io(1);
    struct Group {
        const char* name;
        std::list<Caller> callers;
    };
    std::list<Group> groups;
    const auto until = Steady::now() + std::chrono::milliseconds(static_cast<int>(1000 * seconds));
    const auto add = [&](const char* name, Caller::How how, const std::vector<Tcp::endpoint>& to) {
        Group& group = groups.emplace_back();
        group.name = name;
        for (int i = 0; i < 30; ++i)
            group.callers.emplace_back(io, to, how, i)
                .ask(Steady::now() + std::chrono::milliseconds(i), until);
    };
    add("through the daemon", Caller::How::through, {at(setting.listen)});
    add("own list, in order", Caller::How::in_order, servers);
    add("own list, rotating", Caller::How::rotating, servers);
    asio::steady_timer freeze(io, std::chrono::milliseconds(static_cast<int>(200 * seconds))),
        thaw(io, std::chrono::milliseconds(static_cast<int>(800 * seconds)));
    const pid_t first = setting.servers.front().id;
    freeze.async_wait([&](error_code) { ::kill(first, SIGSTOP); });
    thaw.async_wait([&](error_code) { ::kill(first, SIGCONT); });
    io.run();
    for (const Group& group : groups) {
        std::size_t asked = 0, served = 0;
        for (const Caller& caller : group.callers) asked += caller.asked, served += caller.served;
        std::printf("%s: %zu of %zu lookups in time, %.3f %%\n", group.name, served, asked,
                    100.0 * static_cast<double>(served) / static_cast<double>(asked));
    }
}

void idle(const std::string& program, const std::string& directory, int count) {
    for (const bool proxied : {false, true}) {
        Setting setting(program, directory, 1, proxied);
        asio::io_context io(1);
        std::list<Tcp::socket> sockets;
        const auto ask = [&](Tcp::socket& socket) {
            const ldap::Bytes one = ldap::with_id(1, lookup(1));
            asio::write(socket, asio::buffer(one.data(), one.size()));
            std::array<char, 4096> buffer;
            std::string in;
            for (std::size_t ends = 0; ends < 2;) {
                in.append(buffer.data(), socket.read_some(asio::buffer(buffer)));
                ends = 0;
                std::string_view rest = in;
                for (;;) {
                    const auto framed = ldap::frame(rest, 1 << 20);
                    if (framed.found != ldap::Framed::Found::whole) break;
                    ++ends;
                    rest.remove_prefix(framed.size);
                }
            }
        };
        sockets.emplace_back(io).connect(at(setting.listen));
        ask(sockets.back());
        const long before = setting.daemon->resident_kib();
        for (int i = 0; i < count; ++i) {
            sockets.emplace_back(io).connect(at(setting.listen));
            ask(sockets.back());
        }
        ::usleep(300000);
        const long after = setting.daemon->resident_kib();
        std::printf(
            "%s: %d idle connections, each after one lookup: %ld KiB before, %ld KiB after, %.2f KiB each\n",
            proxied ? "proxied" : "connection", count, before, after,
            static_cast<double>(after - before) / count);
    }
}

}  // namespace

int main(int count, char** words) {
    const std::string what = count > 4 ? words[1] : "";
    if (what == "throughput" && count == 6)
        throughput(words[2], words[3], std::atoi(words[4]), std::atof(words[5]));
    else if (what == "frozen" && count == 5)
        frozen(words[2], words[3], std::atof(words[4]));
    else if (what == "idle" && count == 5)
        idle(words[2], words[3], std::atoi(words[4]));
    else
        return std::fprintf(
                   stderr,
                   "ldap_bench throughput PROGRAM DIRECTORY ROUNDS SECONDS | frozen PROGRAM DIRECTORY "
                   "SECONDS | idle PROGRAM DIRECTORY CONNECTIONS\n"),
               2;
}
