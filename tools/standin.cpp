// A stand-in for a real service, for demonstrations and measurements: answers every HTTP/1.1 request with
// what it saw, and can be told to be silent, slow or wrong (POST /_control/..., on the same port).
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <iostream>
#include <limits>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "io/address.hpp"
#include "words.hpp"

namespace whinledge::tools {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr const char* kHelp =
    "whinledge_standin --listen ADDRESS:PORT --name NAME [--latency 20ms] [--jitter 10ms] [--body BYTES]\n"
    "  POST /_control/freeze           takes requests and says nothing\n"
    "  POST /_control/thaw             answers them, and is as before\n"
    "  POST /_control/fail?share=0.5   answers this share of the requests 500\n"
    "  POST /_control/slow?ms=500      answers this much later\n"
    "  GET  /_control/stats            JSON\n";

constexpr std::size_t kIdsKept = 100000, kMethodsKept = 32;
constexpr std::string_view kControl = "/_control/";

std::string text(beast::string_view view) { return {view.data(), view.size()}; }

class Session;

struct State {
    std::string name;
    long latency = 0, jitter = 0, slow = 0;  // milliseconds
    std::size_t body = 0;                    // the least size of an answer
    double fail = 0;                         // share of requests
    bool frozen = false;
    std::vector<std::shared_ptr<Session>> held;  // until the thaw
    std::mt19937_64 random{std::random_device{}()};

    std::uint64_t requests = 0, duplicates = 0;
    std::size_t open = 0;  // connections
    std::map<std::string, std::uint64_t> methods;
    std::unordered_set<std::string> ids;
    std::deque<std::string> ids_by_age;

    void count(const std::string& method, const std::string& id) {
        ++requests;
        // Methods are a stranger's words: those past the bound are counted together.
        ++methods[methods.size() < kMethodsKept || methods.contains(method) ? method : "other"];
        if (id.empty()) return;
        if (!ids.insert(id).second) {
            ++duplicates;
            return;
        }
        ids_by_age.push_back(id);
        if (ids_by_age.size() <= kIdsKept) return;
        ids.erase(ids_by_age.front());
        ids_by_age.pop_front();
    }
    std::chrono::milliseconds delay() {
        return std::chrono::milliseconds(latency + slow +
                                         std::uniform_int_distribution<long>(0, jitter)(random));
    }
    bool fails() { return std::uniform_real_distribution<double>(0, 1)(random) < fail; }
    std::string stats() const {
        return nlohmann::json{{"name", name},       {"pid", ::getpid()},        {"requests", requests},
                              {"methods", methods}, {"duplicates", duplicates}, {"open", open},
                              {"frozen", frozen},   {"held", held.size()}}
                   .dump() +
               "\n";
    }
};

// One connection. Whatever waits for it holds it; what nothing waits for is gone.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Tcp::socket socket, std::shared_ptr<State> state)
        : socket_(std::move(socket)), timer_(socket_.get_executor()), state_(std::move(state)) {
        ++state_->open;
    }
    ~Session() { --state_->open; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

private:
    // Goes on unless the connection has failed or ended.
    template <class Next>
    auto then(Next next) {
        return [self = shared_from_this(), next](error_code error, auto...) {
            if (!error) next(*self);
        };
    }

public:
    void read() {
        parser_.emplace();
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // "none" is below any length in 1.74
        parser_->header_limit(64 * 1024);
        http::async_read_header(socket_, buffer_, *parser_, then([](Session& self) { self.head(); }));
    }
    // The thaw.
    void resume() { wait(); }

private:
    void head() {
        const auto& head = parser_->get();
        if (!beast::iequals(head[http::field::expect], "100-continue")) return drain();
        static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(socket_, asio::buffer(go_on.data(), go_on.size()),
                          then([](Session& self) { self.drain(); }));
    }
    // Bodies of any size, in one buffer.
    void drain() {
        if (parser_->is_done()) return decide();
        parser_->get().body().data = sink_.data();
        parser_->get().body().size = sink_.size();
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (!error || error == http::error::need_buffer) self->drain();
                         });
    }
    void decide() {
        const auto& head = parser_->get();
        const std::string target = text(head.target());
        if (target.starts_with(kControl)) return control(target.substr(kControl.size()));
        state_->count(text(head.method_string()), text(head["X-Request-Id"]));
        if (!state_->frozen) return wait();
        state_->held.push_back(shared_from_this());
        watch();
    }
    // Who gives up while we are silent is let go: a long freeze must not cost a descriptor for each request.
    void watch() {
        socket_.async_wait(Tcp::socket::wait_read, then([](Session& self) {
                               char byte;
                               const auto got =
                                   ::recv(self.socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                               if (got == 0 || (got < 0 && errno != EAGAIN))
                                   std::erase(self.state_->held, self.shared_from_this());
                           }));
    }
    void wait() {
        const auto delay = state_->delay();
        if (delay.count() == 0) return answer();
        timer_.expires_after(delay);
        timer_.async_wait(then([](Session& self) { self.answer(); }));
    }
    void answer() {
        const auto& head = parser_->get();
        const bool failed = state_->fails();
        std::string body = state_->name + ' ' + text(head.method_string()) + ' ' + text(head.target()) + ' ' +
                           text(head["X-Request-Id"]) + '\n';
        if (body.size() < state_->body) body.resize(state_->body, '.');
        say(failed ? 500 : 200, "text/plain; charset=utf-8", std::move(body));
    }

    void control(const std::string& target) {
        const auto mark = target.find('?');
        const std::string what = target.substr(0, mark);
        const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        const bool get = parser_->get().method() == http::verb::get;
        if (get != (what == "stats")) return say(405, "text/plain", "GET stats; POST all else\n");
        try {
            if (!told(what, query)) return say(404, "text/plain", kHelp);
        } catch (const UsageError& error) {
            return say(400, "text/plain", std::string(error.what()) + '\n');
        }
        say(200, "application/json", state_->stats());
    }
    bool told(const std::string& what, const std::string& query) {
        const auto value = [&](std::string_view key) {
            if (!query.starts_with(key)) throw UsageError("wanted: " + std::string(key));
            return query.substr(key.size());
        };
        if (what == "freeze") {
            state_->frozen = true;
        } else if (what == "thaw") {
            state_->frozen = false;
            for (const auto& session : std::exchange(state_->held, {})) session->resume();
        } else if (what == "fail") {
            state_->fail = number<double>(value("share="));
        } else if (what == "slow") {
            state_->slow = milliseconds(value("ms=") + "ms");
        } else {
            return what == "stats";
        }
        return true;
    }

    void say(unsigned status, const char* type, std::string body) {
        const auto& head = parser_->get();
        reply_ = {};
        reply_.version(head.version());
        reply_.result(status);
        reply_.set(http::field::content_type, type);
        reply_.keep_alive(head.keep_alive());
        reply_.body() = std::move(body);
        reply_.prepare_payload();
        if (head.method() == http::verb::head) reply_.body().clear();  // its length stays told
        http::async_write(socket_, reply_, then([](Session& self) {
                              if (self.reply_.keep_alive()) return self.read();
                              error_code ignored;
                              self.socket_.shutdown(Tcp::socket::shutdown_send, ignored);
                          }));
    }

    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<State> state_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::buffer_body>> parser_;
    std::array<char, 8192> sink_;
    http::response<http::string_body> reply_;
};

void accept(Tcp::acceptor& acceptor, asio::steady_timer& pause, const std::shared_ptr<State>& state) {
    acceptor.async_accept([&, state](error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            error_code ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            std::make_shared<Session>(std::move(socket), state)->read();
            return accept(acceptor, pause, state);
        }
        pause.expires_after(std::chrono::milliseconds(20));  // out of descriptors: no spinning
        pause.async_wait([&, state](error_code stopped) {
            if (!stopped) accept(acceptor, pause, state);
        });
    });
}

int serve(const Words& words) {
    const auto state = std::make_shared<State>();
    state->name = words.get("--name", "standin");
    state->latency = milliseconds(words.get("--latency", "0ms"));
    state->jitter = milliseconds(words.get("--jitter", "0ms"));
    state->body = number<std::size_t>(words.get("--body", "0"));
    if (!words.alone().empty() || !words.has("--listen"))
        throw UsageError("--listen is missing, or too much");

    asio::io_context io(1);
    Tcp::acceptor acceptor(io, endpoint_of<Tcp>(words.get("--listen", "")));
    asio::steady_timer pause(io);
    accept(acceptor, pause, state);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](error_code, int) { io.stop(); });
    io.run();
    state->held.clear();  // they hold the state
    return 0;
}

}  // namespace
}  // namespace whinledge::tools

int main(int count, char** words) {
    using namespace whinledge::tools;
    try {
        return serve(Words(count, words, {"--listen", "--name", "--latency", "--jitter", "--body"}, {}));
    } catch (const UsageError& error) {
        std::cerr << "whinledge_standin: " << error.what() << '\n' << kHelp;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "whinledge_standin: " << error.what() << '\n';
        return 1;
    }
}
