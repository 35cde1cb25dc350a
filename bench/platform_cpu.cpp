// CPU time of the program for a request of the platform's profile: the sidecar between clients and servers of
// this process, over loopback. Takes any number of programs and plays them in turn, so that two builds are
// compared in one run.
//   platform_cpu ROUNDS REQUESTS PROGRAM...
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

// clang-format off
#include <utility>  // ahead of Asio 1.74, which forgets it
#include <boost/asio.hpp>
// clang-format on

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x');

// Answers each request at once; requests end with an empty line and a body of `kBody` bytes where they are
// POSTs.
constexpr std::size_t kBody = 100;
struct Served : std::enable_shared_from_this<Served> {
    explicit Served(Tcp::socket s) : socket(std::move(s)) { socket.set_option(Tcp::no_delay(true)); }
    void read() {
        asio::async_read_until(
            socket, buffer, "\r\n\r\n", [self = shared_from_this()](error_code failed, std::size_t size) {
                if (failed) return;
                const auto* const data = static_cast<const char*>(self->buffer.data().data());
                const bool post = data[0] == 'P';
                self->buffer.consume(size);
                const std::size_t rest =
                    post && self->buffer.size() < kBody ? kBody - self->buffer.size() : 0;
                asio::async_read(self->socket, self->buffer, asio::transfer_exactly(rest),
                                 [self, post](error_code ended, std::size_t) {
                                     if (ended) return;
                                     if (post) self->buffer.consume(kBody);
                                     asio::async_write(self->socket, asio::buffer(kAnswer),
                                                       [self](error_code broken, std::size_t) {
                                                           if (!broken) self->read();
                                                       });
                                 });
            });
    }
    Tcp::socket socket;
    asio::streambuf buffer;
};
struct Server {
    explicit Server(asio::io_context& io) : acceptor(io, {asio::ip::address_v4::loopback(), 0}) { accept(); }
    void accept() {
        acceptor.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            std::make_shared<Served>(std::move(socket))->read();
            accept();
        });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    Tcp::acceptor acceptor;
};

struct Load {
    std::size_t left = 0, done = 0, good = 0, id = 0;
};
// Sends one request after the other.
struct Caller {
    Caller(asio::io_context& io, const Tcp::endpoint& to, Load& load) : socket(io), load(load) {
        socket.connect(to);
        socket.set_option(Tcp::no_delay(true));
        next();
    }
    void next() {
        if (load.left == 0) return;
        --load.left;
        const std::string id = std::to_string(++load.id);
        const bool post = load.id % 3 == 0;
        const std::string name = post ? "deposit" : "listen";
        out = (post ? "POST /" : "GET /") + name + "/item HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id +
              "\r\nRequest-Class: " + name + "\r\nRequest-Timeout-Ms: 5000\r\n" +
              (post ? "Content-Length: 100\r\n\r\n" + std::string(kBody, 'y') : "\r\n");
        asio::async_write(socket, asio::buffer(out), [this](error_code failed, std::size_t) {
            if (!failed) read();
        });
    }
    void read() {
        asio::async_read_until(socket, buffer, "\r\n\r\n", [this](error_code failed, std::size_t size) {
            if (failed) return;
            const std::string head(static_cast<const char*>(buffer.data().data()), size);
            buffer.consume(size);
            const auto at = head.find("Content-Length: ");
            const std::size_t length =
                at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 16, nullptr, 10);
            const std::size_t rest = buffer.size() < length ? length - buffer.size() : 0;
            asio::async_read(
                socket, buffer, asio::transfer_exactly(rest),
                [this, length, good = head.rfind("HTTP/1.1 200", 0) == 0](error_code ended, std::size_t) {
                    if (ended) return;
                    buffer.consume(length);
                    ++load.done;
                    load.good += good;
                    next();
                });
        });
    }
    Tcp::socket socket;
    Load& load;
    asio::streambuf buffer;
    std::string out;
};

std::string config(const std::string& listen, const std::string& discovery,
                   const std::vector<std::string>& servers) {
    std::string list;
    for (std::size_t i = 0; i < servers.size(); ++i)
        list += std::string(i ? "," : "") + R"({"id":"s-)" + std::to_string(i) + R"(","addr":")" +
                servers[i] +
                R"(","zone":"a","kind":"k","cell":0,"state":"Ready","weight":1.0,"started_ms":0})";
    return R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"sockets":1024},"known":{"version":1,"full":true,"servers":[)" +
           list +
           R"(]},"settings":{"azs":["a"],"my-zone":"a","models":["k"],"classes":[
        {"name":"listen","effect":"repeatable","on-time-ms":400.0,"give-up-ms":60000.0,"credit":3.0},
        {"name":"deposit","effect":"once","on-time-ms":300.0,"give-up-ms":60000.0,"credit":5.0}],
        "limits":{"max-attempts":4,"may-cancel":true,"may-probe":false,"may-tell":false,"parallel-tries":false,
                  "connect-timeout-ms":150.0,"idle-close-ms":15000.0},
        "rules":{"cold-from":0.16,"warm-within-ms":20000.0,"fall-multiple":2.0,"fall-ms":1000.0},"fees":{"cross-zone":0.0},
        "membership-mode":"pushed","siblings":3,"tenants":[]}})";
}

// Microseconds of the program's CPU for each request, of all and in user space alone; below zero: something
// was not served.
struct Cost {
    double all = 0, user = 0;
};
Cost play(const std::string& program, std::size_t requests) {
    asio::io_context io;
    std::list<Server> servers;
    std::vector<std::string> addresses;
    for (int i = 0; i < 6; ++i) addresses.push_back(servers.emplace_back(io).address());
    Tcp::acceptor silent(io, {asio::ip::address_v4::loopback(), 0});  // discovery that says nothing
    Tcp::acceptor probe(io, {asio::ip::address_v4::loopback(), 0});
    const Tcp::endpoint listen = probe.local_endpoint();
    probe.close();
    const std::string file = "/tmp/platform_cpu." + std::to_string(::getpid()) + ".json";
    std::ofstream(file) << config("127.0.0.1:" + std::to_string(listen.port()),
                                  "127.0.0.1:" + std::to_string(silent.local_endpoint().port()), addresses);
    const pid_t child = ::fork();
    if (child == 0) {
        ::setenv("LB_CONFIG", file.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), nullptr);
        ::_exit(127);
    }
    Load load{requests, 0, 0, 0};
    std::list<Caller> callers;
    for (int tries = 0; callers.size() < 24 && tries < 2000;) try {
            callers.emplace_back(io, listen, load);
        } catch (const boost::system::system_error&) {
            ++tries;
            ::usleep(2000);
        }
    while (load.done < requests && io.run_one_for(std::chrono::seconds(5)) > 0) {
    }
    ::kill(child, SIGTERM);
    callers.clear();
    rusage usage{};
    int status = 0;
    ::wait4(child, &status, 0, &usage);
    std::remove(file.c_str());
    const auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) + 1e-6 * static_cast<double>(t.tv_usec);
    };
    if (load.good != requests) return {-1, -1};
    const double each = 1e6 / static_cast<double>(requests);
    return {each * (seconds(usage.ru_utime) + seconds(usage.ru_stime)), each * seconds(usage.ru_utime)};
}

}  // namespace

int main(int count, char** words) {
    if (count < 4) {
        std::cerr << "platform_cpu ROUNDS REQUESTS PROGRAM...\n";
        return 2;
    }
    const int rounds = std::atoi(words[1]);
    const auto requests = static_cast<std::size_t>(std::atol(words[2]));
    std::map<int, std::vector<double>> figures, users;
    for (int round = 0; round < rounds; ++round)
        for (int i = 3; i < count; ++i) {
            const Cost cost = play(words[i], requests);
            if (cost.all < 0) std::cerr << words[i] << ": not every request was served\n";
            figures[i].push_back(cost.all);
            users[i].push_back(cost.user);
        }
    for (auto& [i, all] : figures) {
        std::vector<double> ratios;
        for (std::size_t r = 0; r < all.size(); ++r) ratios.push_back(all[r] / figures[3][r]);
        std::sort(all.begin(), all.end());
        std::sort(ratios.begin(), ratios.end());
        auto& user = users[i];
        std::sort(user.begin(), user.end());
        std::printf(
            "%s: us of CPU a request: least %.1f, median %.1f, most %.1f (in user space, median %.1f); ratio "
            "to the first, median %.3f\n",
            words[i], all.front(), all[all.size() / 2], all.back(), user[user.size() / 2],
            ratios[ratios.size() / 2]);
    }
}
