#include "fleet/traffic.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace whinledge::fleetrig {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr const char* kId = "X-Rig-Id";
constexpr std::chrono::seconds kPatience(20);  // of a client; a route's timeout is 15 s

}  // namespace

// ---- Servers ----------------------------------------------------------------------------------------------

class Servers::Server : public std::enable_shared_from_this<Server> {
public:
    Server(asio::io_context& io, const Tcp::endpoint& at, std::size_t place, const RunClock& clock,
           Record& record, Millis after, std::shared_ptr<std::size_t> open)
        : acceptor_(io, at),
          place_(place),
          clock_(clock),
          record_(record),
          after_(after),
          open_(std::move(open)) {}
    void accept() {
        acceptor_.async_accept([self = shared_from_this()](error_code failed, Tcp::socket socket) {
            if (self->closed_) return;
            if (!failed) std::make_shared<Session>(std::move(socket), self)->read();
            self->accept();
        });
    }
    void close() {
        closed_ = true;
        error_code ignored;
        acceptor_.close(ignored);
    }

private:
    struct Session : std::enable_shared_from_this<Session> {
        Session(Tcp::socket socket, std::shared_ptr<Server> server)
            : stream(std::move(socket)), server(std::move(server)), timer(stream.get_executor()) {}
        ~Session() { rest(); }
        void rest() {
            if (std::exchange(busy, false)) --*server->open_;
        }
        void read() {
            request = {};
            http::async_read(stream, buffer, request,
                             [self = shared_from_this()](error_code failed, std::size_t) {
                                 if (!failed && !self->server->closed_) self->answer();
                             });
        }
        void answer() {
            const auto text = [](beast::string_view view) { return std::string(view.data(), view.size()); };
            busy = true;
            ++*server->open_;
            server->record_.add(
                {server->clock_.now(),
                 Served{server->place_, text(request[kId]), text(request.method_string()), *server->open_}});
            if (server->after_ <= 0) return respond();
            timer.expires_after(RunClock::span(server->after_));
            timer.async_wait([self = shared_from_this()](error_code) {
                if (!self->server->closed_) self->respond();
            });
        }
        void respond() {
            rest();
            response = {http::status::ok, 11};
            response.body() = "done\n";
            response.prepare_payload();
            http::async_write(stream, response, [self = shared_from_this()](error_code failed, std::size_t) {
                if (!failed) self->read();
            });
        }
        beast::tcp_stream stream;
        std::shared_ptr<Server> server;
        asio::steady_timer timer;
        bool busy = false;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response<http::string_body> response;
    };

    Tcp::acceptor acceptor_;
    std::size_t place_;
    const RunClock& clock_;
    Record& record_;
    Millis after_;
    std::shared_ptr<std::size_t> open_;
    bool closed_ = false;
};

Servers::Servers(asio::io_context& io, const Places& places, const RunClock& clock, Record& record,
                 Millis after) {
    for (std::size_t i = 0; i < record.cast().servers.size(); ++i) {
        servers_.push_back(std::make_shared<Server>(io, places.server(i), i, clock, record, after, open_));
        servers_.back()->accept();
    }
}

Servers::~Servers() {
    for (const auto& server : servers_) server->close();
}

// ---- Clients ----------------------------------------------------------------------------------------------

class Clients::Call : public std::enable_shared_from_this<Call> {
public:
    Call(Clients& clients, Node node, const std::string& id, bool changes)
        : stream_(clients.io_),
          clock_(clients.clock_),
          record_(clients.record_),
          here_(clients.here_),
          calls_(clients.calls_),
          called_{node, id, changes ? "POST" : "GET", clients.clock_.now(), 0} {
        calls_->insert(this);
    }
    ~Call() { calls_->erase(this); }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

private:
    template <class Next>
    auto then(Next next) {
        return [self = shared_from_this(), next](error_code failed, auto...) {
            if (!*self->here_) return;
            failed ? self->end(0) : next(*self);
        };
    }

public:
    void begin(const Tcp::endpoint& to) {
        request_ = {called_.method == "GET" ? http::verb::get : http::verb::post, "/" + called_.id, 11};
        request_.set(http::field::host, "rig.example.org");
        request_.set(kId, called_.id);
        request_.set(http::field::connection, "close");
        if (called_.method == "POST") request_.body() = "change";
        request_.prepare_payload();
        stream_.expires_after(kPatience);
        stream_.async_connect(to, then([](Call& call) { call.write(); }));
    }

    void end(unsigned status) {
        if (std::exchange(ended_, true)) return;
        called_.status = static_cast<int>(status);
        record_.add({clock_.now(), called_});
    }

private:
    void write() {
        http::async_write(stream_, request_, then([](Call& call) { call.read(); }));
    }
    void read() {
        http::async_read(stream_, buffer_, response_,
                         then([](Call& call) { call.end(call.response_.result_int()); }));
    }
    beast::tcp_stream stream_;
    const RunClock& clock_;
    Record& record_;
    std::shared_ptr<bool> here_;
    std::shared_ptr<std::set<Call*>> calls_;
    bool ended_ = false;
    Called called_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
};

Clients::Clients(asio::io_context& io, const Places& places, const RunClock& clock, Record& record,
                 double rate, std::function<bool(Node)> wanted, std::string prefix)
    : io_(io),
      places_(places),
      clock_(clock),
      record_(record),
      between_(rate > 0 ? 1000 / rate / static_cast<double>(record.cast().members.size()) : 0),
      wanted_(std::move(wanted)),
      prefix_(std::move(prefix)),
      timer_(io),
      next_at_(clock.now()) {
    if (between_ > 0) next();
}

Clients::~Clients() { *here_ = false; }

void Clients::stop() { timer_.cancel(); }

void Clients::finish() {
    for (Call* const call : *calls_) call->end(0);
}

// By the clock alone: a slow answer delays no further request.
void Clients::next() {
    next_at_ += between_;
    timer_.expires_at(clock_.when(next_at_));
    timer_.async_wait([this](error_code failed) {
        if (failed) return;
        const std::uint64_t n = count_++;
        const std::size_t members = record_.cast().members.size();
        const Node node = n % members;
        const bool changes = (n / members + node) % 2 == 1;
        if (wanted_(node))
            std::make_shared<Call>(*this, node, prefix_ + std::to_string(n), changes)
                ->begin(places_.listener_of(node));
        next();
    });
}

}  // namespace whinledge::fleetrig
