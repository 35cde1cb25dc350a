// An open-loop client, for demonstrations and measurements: each request has a moment at which it is due,
// whatever became of those before it, and its latency counts from that moment.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <iostream>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "io/address.hpp"
#include "words.hpp"

namespace whinledge::tools {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;
using Time = Steady::time_point;

constexpr const char* kHelp =
    "whinledge_probe --to ADDRESS:PORT --rate PER_SECOND --seconds N PATH...\n"
    "  sends this many requests a second to each path; N = 0: until SIGINT or SIGTERM\n"
    "  --method GET  --body BYTES  --host NAME   of every request\n"
    "  --timeout 5s        from the moment that a request is due\n"
    "  --connections 1000  open at once; a request that finds none waits, and its latency with it\n"
    "  --table             a line each second\n"
    "  --json              the whole at the end as JSON, on standard output\n"
    "  --least PATH=SHARE[@FROM-TO], --most PATH=SHARE[@FROM-TO]\n"
    "      status 1 unless this share at least (at most) of the requests due in seconds FROM to TO was "
    "answered\n"
    "answered: any status but 429 and 5xx. refused: 429 and 503. failed: other 5xx, a broken connection, no "
    "answer\n"
    "in time. Status: 0, 1 a share was not held, 2 the command line is wrong.\n";

constexpr std::chrono::seconds kIdleKept{2};  // older idle connections may be about to be closed

double milliseconds_of(Steady::duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

enum class End { answered, refused, failed };

struct Count {
    std::uint64_t sent = 0, answered = 0, refused = 0, failed = 0;
    void ended(End how) { ++(how == End::answered ? answered : how == End::refused ? refused : failed); }
};

// Sorts. Nearest rank; 0 without values.
double percentile(std::vector<float>& values, double share) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

nlohmann::json percentiles(std::vector<float> values) {
    return {{"p50", percentile(values, 0.5)},
            {"p90", percentile(values, 0.9)},
            {"p99", percentile(values, 0.99)},
            {"p999", percentile(values, 0.999)},
            {"max", values.empty() ? 0 : values.back()}};
}

struct Path {
    std::string target;
    Count all;
    std::vector<Count> due;        // by the second in which they were due
    std::vector<float> latencies;  // milliseconds, of the answered
    Count lately;                  // since the last line of the table
    std::vector<float> latencies_lately;
};

struct Shot {
    Path* path;
    std::size_t second;
    Time due;
};

struct Options {
    Tcp::endpoint to;
    double rate = 10;
    std::size_t seconds = 0, body = 0, connections = 1000;
    std::string method = "GET", host;
    std::chrono::milliseconds timeout{5000};
    bool table = false;
};

class Probe;

// A connection, and the request on it.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(Probe& probe);
    void carry(Shot shot);
    Time idle_since;

private:
    void write();
    void read();
    void over(std::optional<unsigned> status, bool keep);

    Probe& probe_;
    beast::tcp_stream stream_;
    bool connected_ = false;
    Shot shot_{};
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

class Probe {
public:
    Probe(Options options, const std::vector<std::string>& targets)
        : options_(std::move(options)), timer_(io_), second_(io_), signals_(io_, SIGINT, SIGTERM) {
        for (const auto& target : targets) paths_.push_back({target, {}, {}, {}, {}, {}});
        id_ = "probe-" + std::to_string(std::random_device{}()) + '-';
    }

    void run() {
        signals_.async_wait([this](error_code error, int) {
            if (!error) io_.stop();
        });
        start_ = Steady::now();
        if (options_.table) {
            heading();
            line(1);
        }
        next();
        io_.run();
    }
    nlohmann::json report() {
        nlohmann::json paths;
        for (const Path& p : paths_) {
            nlohmann::json seconds = nlohmann::json::array();
            for (const Count& c : p.due) seconds.push_back(counts(c));
            auto& path = paths[p.target] = counts(p.all);
            path["latency_ms"] = percentiles(p.latencies);
            path["by_due_second"] = std::move(seconds);
        }
        return {{"rate", options_.rate}, {"lateness_ms", percentiles(lateness_)}, {"paths", paths}};
    }
    // Whether the share of one --least or --most was held.
    bool held(const std::string& need, bool least) const;

    // Of its connections.
    asio::io_context& io() { return io_; }
    const Options& options() const { return options_; }
    std::string next_id() { return id_ + std::to_string(++ids_); }
    void ended(const Shot& shot, End how, std::shared_ptr<Connection> kept);

private:
    static nlohmann::json counts(const Count& c) {
        return {{"sent", c.sent},
                {"answered", c.answered},
                {"refused", c.refused},
                {"failed", c.failed},
                {"open", c.sent - c.answered - c.refused - c.failed}};
    }
    // The paths take turns, so that their requests are spread over the time between two of one path.
    Time due(std::uint64_t shot) const {
        const double each = options_.rate * static_cast<double>(paths_.size());
        return start_ + std::chrono::duration_cast<Steady::duration>(
                            std::chrono::duration<double>(static_cast<double>(shot) / each));
    }
    bool all_sent() const {
        return options_.seconds && due(shots_) >= start_ + std::chrono::seconds(options_.seconds);
    }
    void next();
    void send(const Shot& shot);
    void end_if_done() {
        if (all_sent() && open_ == 0 && waiting_.empty()) io_.stop();
    }
    void heading() const;
    void line(std::size_t number);

    Options options_;
    asio::io_context io_{1};
    asio::steady_timer timer_, second_;
    asio::signal_set signals_;
    std::deque<Path> paths_;
    std::string id_;
    std::uint64_t ids_ = 0, shots_ = 0;
    Time start_;
    std::size_t open_ = 0;  // connections with a request
    std::vector<std::shared_ptr<Connection>> idle_;
    std::deque<Shot> waiting_;     // for a connection
    std::vector<float> lateness_;  // milliseconds from due to sent
};

Connection::Connection(Probe& probe) : probe_(probe), stream_(probe.io()) {}

void Connection::carry(Shot shot) {
    shot_ = shot;
    const Options& o = probe_.options();
    request_ = {};
    request_.version(11);
    request_.method_string(o.method);
    request_.target(shot.path->target);
    request_.set(http::field::host, o.host);
    request_.set("X-Request-Id", probe_.next_id());
    request_.body().assign(o.body, 'x');
    request_.prepare_payload();
    stream_.expires_at(shot.due + o.timeout);
    if (connected_) return write();
    stream_.async_connect(o.to, [self = shared_from_this()](error_code error) {
        if (error) return self->over({}, false);
        self->connected_ = true;
        error_code ignored;
        self->stream_.socket().set_option(Tcp::no_delay(true), ignored);
        self->write();
    });
}

void Connection::write() {
    http::async_write(stream_, request_, [self = shared_from_this()](error_code error, std::size_t) {
        error ? self->over({}, false) : self->read();
    });
}

void Connection::read() {
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // "none" is below any length in 1.74
    parser_->skip(request_.method() == http::verb::head);
    http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
        if (error) return self->over({}, false);
        self->over(self->parser_->get().result_int(), self->parser_->keep_alive());
    });
}

void Connection::over(std::optional<unsigned> status, bool keep) {
    const End how = !status || (*status >= 500 && *status != 503) ? End::failed
                    : *status == 429 || *status == 503            ? End::refused
                                                                  : End::answered;
    stream_.expires_never();
    probe_.ended(shot_, how, keep ? shared_from_this() : nullptr);
}

void Probe::next() {
    for (const Time now = Steady::now(); !all_sent() && due(shots_) <= now; ++shots_) {
        Path& path = paths_[shots_ % paths_.size()];
        const auto second =
            static_cast<std::size_t>(static_cast<double>(shots_ / paths_.size()) / options_.rate);
        if (path.due.size() <= second) path.due.resize(second + 1);
        ++path.all.sent, ++path.lately.sent, ++path.due[second].sent;
        const Shot shot{&path, second, due(shots_)};
        open_ < options_.connections ? send(shot) : waiting_.push_back(shot);
    }
    if (all_sent()) return end_if_done();
    timer_.expires_at(due(shots_));
    timer_.async_wait([this](error_code error) {
        if (!error) next();
    });
}

void Probe::send(const Shot& shot) {
    const Time now = Steady::now();
    lateness_.push_back(static_cast<float>(milliseconds_of(now - shot.due)));
    ++open_;
    std::shared_ptr<Connection> connection;
    if (!idle_.empty()) {
        connection = std::move(idle_.back());
        idle_.pop_back();
        if (now - connection->idle_since > kIdleKept) {  // and so are all below it
            idle_.clear();
            connection.reset();
        }
    }
    if (!connection) connection = std::make_shared<Connection>(*this);
    connection->carry(shot);
}

void Probe::ended(const Shot& shot, End how, std::shared_ptr<Connection> kept) {
    const Time now = Steady::now();
    --open_;
    Path& path = *shot.path;
    path.all.ended(how), path.lately.ended(how), path.due[shot.second].ended(how);
    if (how == End::answered) {
        path.latencies.push_back(static_cast<float>(milliseconds_of(now - shot.due)));
        if (options_.table) path.latencies_lately.push_back(path.latencies.back());
    }
    if (kept) {
        kept->idle_since = now;
        idle_.push_back(std::move(kept));
    }
    if (!waiting_.empty()) {
        const Shot first = waiting_.front();
        waiting_.pop_front();
        send(first);
    }
    end_if_done();
}

void Probe::heading() const {
    std::printf("%6s", "");
    for (const Path& p : paths_) std::printf(" | %-35.35s", p.target.c_str());
    std::printf("\n%6s", "second");
    for (std::size_t i = 0; i < paths_.size(); ++i)
        std::printf(" | %5s %8s %6s %7s %5s", "sent", "answered", "p50 ms", "refused", "fail");
    std::printf("\n");
    std::fflush(stdout);
}

void Probe::line(std::size_t number) {
    second_.expires_at(start_ + std::chrono::seconds(number));
    second_.async_wait([this, number](error_code error) {
        if (error) return;
        std::printf("%6zu", number);
        for (Path& p : paths_) {
            const Count c = std::exchange(p.lately, {});
            auto latencies = std::exchange(p.latencies_lately, {});
            char median[16] = "-";
            if (!latencies.empty()) std::snprintf(median, sizeof median, "%.1f", percentile(latencies, 0.5));
            std::printf(" | %5llu %8llu %6s %7llu %5llu", static_cast<unsigned long long>(c.sent),
                        static_cast<unsigned long long>(c.answered), median,
                        static_cast<unsigned long long>(c.refused),
                        static_cast<unsigned long long>(c.failed));
        }
        std::printf("\n");
        std::fflush(stdout);
        line(number + 1);
    });
}

// PATH=SHARE[@FROM-TO]
bool Probe::held(const std::string& need, bool least) const {
    const auto equals = need.rfind('='), at = need.find('@', equals);
    if (equals == std::string::npos) throw UsageError("PATH=SHARE[@FROM-TO]: '" + need + "'");
    const std::string target = need.substr(0, equals);
    const auto path =
        std::find_if(paths_.begin(), paths_.end(), [&](const Path& p) { return p.target == target; });
    if (path == paths_.end()) throw UsageError("no such path: '" + target + "'");
    const double share = number<double>(std::string_view(need).substr(equals + 1, at - equals - 1));
    std::size_t from = 0, to = path->due.size();
    if (at != std::string::npos) {
        const auto dash = need.find('-', at);
        if (dash == std::string::npos) throw UsageError("PATH=SHARE[@FROM-TO]: '" + need + "'");
        from = number<std::size_t>(std::string_view(need).substr(at + 1, dash - at - 1));
        to = std::min(to, number<std::size_t>(std::string_view(need).substr(dash + 1)));
    }
    Count sum;
    for (std::size_t i = from; i < to; ++i) {
        sum.sent += path->due[i].sent;
        sum.answered += path->due[i].answered;
    }
    const double got =
        sum.sent == 0 ? std::nan("") : static_cast<double>(sum.answered) / static_cast<double>(sum.sent);
    const bool held = least ? got >= share : got <= share;  // neither, where nothing was sent
    std::fprintf(stderr, "%s: answered %llu of %llu in seconds %zu to %zu, wanted %s %g: %s\n",
                 target.c_str(), static_cast<unsigned long long>(sum.answered),
                 static_cast<unsigned long long>(sum.sent), from, to, least ? "at least" : "at most", share,
                 held ? "held" : "NOT HELD");
    return held;
}

void summarise(const nlohmann::json& report) {
    for (const auto& [target, path] : report["paths"].items()) {
        const auto& latency = path["latency_ms"];
        const auto of = [&path = path](const char* what) { return path[what].get<unsigned long long>(); };
        std::printf(
            "%s: sent %llu, answered %llu, refused %llu, failed %llu, open %llu; ms p50 %.1f p99 %.1f max "
            "%.1f\n",
            target.c_str(), of("sent"), of("answered"), of("refused"), of("failed"), of("open"),
            latency["p50"].get<double>(), latency["p99"].get<double>(), latency["max"].get<double>());
    }
    const auto& late = report["lateness_ms"];
    std::printf("sent later than due by ms: p50 %.1f p99 %.1f max %.1f\n", late["p50"].get<double>(),
                late["p99"].get<double>(), late["max"].get<double>());
}

int probe(const Words& words) {
    Options options;
    options.to = endpoint_of<Tcp>(words.get("--to", ""));
    options.host = words.get("--host", words.get("--to", ""));
    options.rate = number<double>(words.get("--rate", "10"));
    options.seconds = number<std::size_t>(words.get("--seconds", "10"));
    options.body = number<std::size_t>(words.get("--body", "0"));
    options.connections = number<std::size_t>(words.get("--connections", "1000"));
    options.method = words.get("--method", "GET");
    options.timeout = std::chrono::milliseconds(milliseconds(words.get("--timeout", "5s")));
    options.table = words.has("--table");
    if (options.rate < 0.001 || options.rate > 1e6) throw UsageError("--rate: 0.001 to 1000000");
    if (options.connections == 0 || words.alone().empty())
        throw UsageError("a path is missing, or a connection");

    Probe probe(options, words.alone());
    probe.run();
    const nlohmann::json report = probe.report();
    if (words.has("--json"))
        std::cout << report.dump(1) << '\n';
    else
        summarise(report);
    bool held = true;
    for (const auto& need : words.all("--least")) held = probe.held(need, true) && held;
    for (const auto& need : words.all("--most")) held = probe.held(need, false) && held;
    return held ? 0 : 1;
}

}  // namespace
}  // namespace whinledge::tools

int main(int count, char** words) {
    using namespace whinledge::tools;
    try {
        return probe(Words(count, words,
                           {"--to", "--rate", "--seconds", "--method", "--body", "--host", "--timeout",
                            "--connections", "--least", "--most"},
                           {"--table", "--json"}));
    } catch (const UsageError& error) {
        std::cerr << "whinledge_probe: " << error.what() << '\n' << kHelp;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "whinledge_probe: " << error.what() << '\n';
        return 1;
    }
}
