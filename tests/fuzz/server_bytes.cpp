// What a server may answer: the upstream side against one that answers its first request with the input, and
// the next one as it should. Flags of the plan: 1: it answers before it reads; 2: the request is larger than
// all buffers between, and stays unread; 4: the next request follows before the loop turns; 8: it follows
// later.
#include <algorithm>
#include <list>
#include <memory>
#include <optional>

#include "driver.hpp"
#include "http/upstream.hpp"
#include "reader.hpp"
#include "rig/net_rig.hpp"
#include "words.hpp"
#include "world.hpp"

namespace whinledge::fuzz {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kEarly = 1, kLarge = 2, kAtOnce = 4, kLater = 8;
constexpr ServerId kServer = 7;
constexpr double kSettle = 3;               // ms of a connection before it is used again
constexpr std::size_t kOwedWithin = 20000;  // turns until an exchange ends whose connection has ended
constexpr std::size_t kBodyLimit = 64 * 1024, kHeadLimit = 16 * 1024, kInterim = 8;

Listener& listener() {
    static Listener at;
    return at;
}

const std::shared_ptr<const std::string>& body(bool large) {
    static const auto usual = std::make_shared<const std::string>("a request's body");
    // A sender's buffer has 4 MiB at most, and a receiver's does not grow while nothing is read.
    static const auto long_one = std::make_shared<const std::string>(std::size_t{5} << 20, 'x');
    return large ? long_one : usual;
}

struct Exchange {
    ExchangeId id = 0;
    std::size_t ends = 0;
    Outcome outcome = Outcome::superseded;
    std::string body;
};

class Trial {
public:
    explicit Trial(std::string_view input)
        : plan_(input), bytes_(input.substr(std::min(input.size(), Plan::kSize))) {
        listener().clear();
        world_.set_outside([this] { return step(); });
        upstream_.emplace(world_.io, log_, Upstream::Limits{150, 14000, 512, kSettle});
        upstream_->set_server(kServer, listener().address(), 0);
    }

    void run() {
        world_.judge([this] {
            world_.settle();
            world_.forget();
            ask(first_, large_);
            answer();
            // A request that the kernel does not take whole is the upstream's to hold.
            if (world_.most_held() > kMostHeld + (large_ ? 3 * body(true)->size() : 0))
                world_.note("one server's bytes make the upstream hold more than 256 KiB");
            judge_first();
            judge_next();
        });
    }

private:
    struct Connection {
        Wire wire;
        std::size_t requests = 0, size = 0;  // that came whole; their bytes
    };

    void ask(Exchange& exchange, bool large) {
        Upstream::Request request;
        request.head =
            HeadText::request("POST", "/deposit").add("Content-Length", body(large)->size()).whole();
        request.body = *body(large);
        request.keep = body(large);
        world_.inside([&] {
            exchange.id = upstream_
                              ->start(kServer, std::move(request),
                                      [&](Upstream::End end) {
                                          ++exchange.ends;
                                          exchange.outcome = end.outcome;
                                          if (end.answer) exchange.body = std::move(end.answer->body());
                                      })
                              .exchange;
        });
    }

    bool step() {
        bool any = false;
        while (auto wire = listener().accept()) {
            connections_.push_back({std::move(*wire)});
            any = true;
        }
        for (Connection& c : connections_) any |= serve(c);
        return any;
    }
    // Reads, and answers all but the first request, which is the trial's to answer.
    bool serve(Connection& c) {
        const bool first = &c == &connections_.front();
        if ((first && unread_) || !c.wire.receive()) return false;
        Message m;
        while (c.wire.received.size() > c.size) {
            const Verdict verdict = read_request(std::string_view(c.wire.received).substr(c.size), m);
            check(verdict != Verdict::fault, "a server gets what no strict reader takes");
            if (verdict == Verdict::partial) break;
            c.size += m.size;
            if (++c.requests > 1 || !first) c.wire.send(test::response("200 OK", "the next one"));
        }
        return true;
    }

    // Sends the input in answer to the first request.
    void answer() {
        unread_ = large_ || (plan_.flags & kEarly);
        const bool came = world_.await(
            [this] { return !connections_.empty() && (unread_ || connections_.front().requests > 0); },
            kOwedWithin);
        check(came, "a request does not come");
        if (large_) world_.settle();  // the kernel takes no more of it
        Connection& c = connections_.front();
        sent_ = deliver(world_, c.wire, plan_, bytes_);
        const bool at_once = (plan_.flags & kAtOnce) && first_.ends > 0;
        if (end_ != End::reset && !at_once) world_.settle();
        // Closed over unread bytes it would be reset.
        unread_ = large_;
        serve(c);
        whole_ = c.requests > 0;
        c.wire.end(end_);
        if (!at_once && end_ != End::open)
            check(world_.await([this] { return first_.ends > 0; }, kOwedWithin),
                  "an exchange outlives its connection");
        if (!at_once) world_.settle();
        check(first_.ends <= 1, "an exchange ends twice");
    }

    // ---- The first exchange, by what a strict reader makes of the answer ----

    void judge_first() {
        Message m;
        const Verdict verdict = read_final(sent_, kInterim, m);
        if (verdict == Verdict::whole && m.until_end) {
            m.body = sent_.substr(final_end(m));
            m.size += m.body.size();
        }
        // What only the connection's end delimits ends with it, in good order.
        const bool ended = !m.until_end || end_ == End::half_closed || end_ == End::closed;
        const bool served =
            verdict == Verdict::whole && ended && m.status == 200 && m.body.size() <= kBodyLimit;
        const bool due = served && is_usual(m) && !large_ && end_ != End::reset;
        if (due) world_.await([this] { return first_.ends > 0; }, kOwedWithin);
        if (first_.ends == 0) {
            check(!due, "a good answer is not served");
            upstream_->stop(first_.id);
            stopped_ = true;
            return;
        }
        if (first_.outcome == Outcome::completed) {
            check(served, "an answer is served that no strict reader takes for one");
            check(first_.body == m.body, "another body is served than a strict reader finds");
            check(!large_, "an answer is served ahead of its request's end");
        }
        check(!due || first_.outcome == Outcome::completed, "a good answer is not served");
        if (first_.outcome == Outcome::saturated)
            check(m.has_head && (m.status == 503 || m.status == 504) && m.count("not-started") == 1 &&
                      m.value("not-started") == "1",
                  "a proof of not having run is taken from what proves nothing");
        if (first_.outcome == Outcome::refused_connection)
            check(!whole_, "a request that came whole counts as one that never did");
        spent_ = verdict == Verdict::whole && m.keep() && end_ == End::open && sent_.size() == final_end(m);
    }
    // Nothing in it gives a reason not to serve it.
    static bool is_usual(const Message& m) {
        return !m.trailers && m.head <= kHeadLimit / 2 && m.overhead() <= 256 + m.body.size() && !m.old;
    }
    // Where the final answer ends among the bytes.
    std::size_t final_end(const Message& final) const {
        std::string_view rest = sent_;
        for (Message m; read_response(rest, m) == Verdict::whole && m.status / 100 == 1;)
            rest.remove_prefix(m.size);
        return sent_.size() - rest.size() + final.size;
    }

    // ---- The next one ----

    // It is served by its own answer; on the same connection only if the first answer was the last of its
    // bytes.
    void judge_next() {
        const std::size_t before = connections_.size();
        if (plan_.flags & kLater) {
            if (plan_.flags & kAtOnce)
                world_.skip(kSettle + 2);
            else
                world_.elapse(kSettle + 2);
        }
        ask(next_, false);
        check(world_.await([this] { return next_.ends > 0; }, kOwedWithin), "the next exchange does not end");
        world_.settle();
        check(first_.ends <= (stopped_ ? 0 : 1), "an exchange ends twice or after it was stopped");
        check(next_.ends == 1, "an exchange ends twice or after it was stopped");
        check(connections_.size() > before || spent_,
              "a connection is used again behind what is not one answer");
        check(next_.outcome == Outcome::completed, "the next exchange is not served");
        check(next_.body == "the next one", "the next exchange gets what belongs to the first");
        check(upstream_->stats().open <= 2, "connections stay open");
    }

    Plan plan_;
    const End end_ = static_cast<End>(plan_.end);
    const bool large_ = plan_.flags & kLarge;
    std::string_view bytes_, sent_;
    World world_;
    Log log_;
    std::optional<Upstream> upstream_;
    std::list<Connection> connections_;
    Exchange first_, next_;
    bool unread_ = false;   // the first request stays in the kernel
    bool whole_ = false;    // the first request came whole
    bool stopped_ = false;  // the first exchange was
    bool spent_ = false;    // the first answer is the last of its bytes, and another may follow
};

}  // namespace

Target target() {
    const auto response = [](const std::string& status, const std::string& body,
                             const std::string& more = "") { return test::response(status, body, more); };
    const std::string ok = "HTTP/1.1 200 OK\r\n", end = "\r\n\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n", proof = "Not-Started: 1\r\n";
    const std::string wait = "HTTP/1.1 102 Processing\r\n\r\n";
    Target t;
    t.flags = 4;
    t.seed_flags = {0, kLater, kAtOnce | kLater};
    t.seeds = {
        response("200 OK", "a song"), response("200 OK", "a song") + response("200 OK", "another's"),
        response("200 OK", "a song") + "noise", response("200 OK", ""), response("500 Oops", "why"),
        response("503 Full", "", proof), response("504 Over", "late", proof), response("503 Full", ""),
        response("503 Full", "", "Not-Started: 0\r\n"),
        response("503 Full", "", proof + "Not-Started: 0\r\n"),
        response("503 Full", "", "Not-Started: 0\r\n" + proof), response("200 OK", "x", proof),
        "HTTP/1.1 503 Full\r\n" + proof + "Content-Length: 9\r\n\r\nfu",
        "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + proof + "\r\n",
        "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n" + proof + "\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 503 Full\r\n" + proof + "\r\nuntil the end",
        chunked + "5\r\nabcde\r\n1;x=\"y z\"\r\nf\r\n0\r\n\r\n",
        chunked + "5\r\nabcde\r\n0\r\nChecksum: 77\r\nOther: z\r\n\r\n",
        chunked + "3;x=\"y\nz\"\r\nabc\r\n0\r\n\r\n", chunked + "3\r\nabc\r\n0\r\nFolded: a\r\n b\r\n\r\n",
        chunked + "3\r\nabc\r\n0\r\nA: " + std::string(70000, 'b') + end,
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 1\r\nConnection: keep-alive\r\n\r\nx",
        response("200 OK", "x", "Connection: close\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n" + wait + response("200 OK", "a song"),
        "HTTP/1.1 101 Switching\r\n\r\n", "HTTP/1.1 204 None\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 304 Same\r\n\r\n", ok + "\r\nuntil the end", ok + "Content-Length: 10\r\n\r\nhalf",
        ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", ok + "Content-Length: 4, 4\r\n\r\nabcd",
        ok + "Content-Length: 18446744073709551614\r\n\r\nabcd", response("200 OK", std::string(65536, 'x')),
        response("200 OK", std::string(65537, 'x')),
        chunked + "10000\r\n" + std::string(65536, 'x') + "\r\n0\r\n\r\n",
        chunked + repeat("1\r\nx\r\n", 400000) + "0\r\n\r\n",
        // Without end: trailers, one trailer, an extension, a chunk's size, interim answers, a head, a body.
        chunked + "0\r\n" + repeat("A: b\r\n", 1000000),
        chunked + "1\r\nx\r\n0\r\nA: " + repeat("b", 1000000), chunked + "1;" + repeat("a", 1000000),
        chunked + "1" + repeat(";a=\"b\"", 1000000), chunked + repeat("0", 1000000),
        chunked + repeat("1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n", 1000000),
        repeat(wait, 1000000), ok + repeat("A: b\r\n", 1000000), "HTTP/1.1 200 " + repeat("O", 1000000),
        ok + "Content-Length: 1000000\r\n\r\n" + repeat("x", 1000000),
        chunked + "f4240\r\n" + repeat("x", 1000000), "HTTP/1.1 500 Oops\r\n\r\n" + repeat("x", 1000000),
        repeat(response("200 OK", "a song"), 200000),
        std::string("\x16\x03\x01\x02", 4) + repeat("\x01\x02\x03", 70000), ""};
    t.words = http_words();
    // clang-format off
    for (const std::string& word : std::vector<std::string>{
             proof, "Not-Started: 0\r\n", "Not-Started: ", "1", "200", "204", "304", "500", "503", "504", "100",
             "101", response("200 OK", "w"), response("503 Full", "", proof)})
        t.words.push_back(word);
    // clang-format on
    return t;
}

}  // namespace whinledge::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    whinledge::fuzz::Trial({reinterpret_cast<const char*>(data), size}).run();
    return 0;
}
