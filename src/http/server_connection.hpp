// One connection to a server: connecting, carrying an exchange, or idle. Private to `Upstream`.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/answer_end.hpp"
#include "http/chunks.hpp"
#include "http/message.hpp"
#include "http/upstream.hpp"
#include "io/clock.hpp"

namespace whinledge {

// It always waits to be readable, so that it learns of its end while idle, and reads an answer only while it
// carries an exchange. Its requests are written by server_connection.cpp, answers read by server_answer.cpp.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Upstream& owner, ServerId server_, std::uint64_t life_, PoolId pool_)
        : server(server_), life(life_), pool(pool_), owner_(&owner), socket_(owner.io_), timer_(owner.io_) {
        ++owner_->stats_.open;
    }
    ~Connection() { close(); }

    void connect(const Tcp::endpoint& address);

    void carry(ExchangeId id, Request request, Done done);

    void rest();
    // Goes to work again.
    void wake(PoolId for_pool);
    bool idled_out(std::chrono::steady_clock::time_point now) const { return now - since_ >= span(idle_); }
    // The one place that says whether one that has idled may carry another request.
    bool reusable(std::chrono::steady_clock::time_point now) { return !idled_out(now) && quiet(); }
    // Ends one that carries nothing.
    void discard();
    std::chrono::steady_clock::time_point idle_since() const { return since_; }

    // Whether the request may have been written whole.
    bool stop();

    bool written() const { return written_; }

    // Of what is passed on as it comes, either way: whether it has stood still for too long.
    bool stalled(std::chrono::steady_clock::time_point now) const;
    // Until it may be stalled as the time of its answer is over; none: nothing bounds that.
    std::optional<Millis> until_overdue(std::chrono::steady_clock::time_point now) const;
    void stall() { fail(may_have_run() ? Outcome::severed : Outcome::refused_connection); }
    // It broke. One that had served before may have been given up over there for its idleness, unseen: that
    // says nothing of the server, but something of the connections that have idled beside it.
    void lost();

    void close();

    const ServerId server;
    const std::uint64_t life;
    PoolId pool;  // whose it is

private:
    // Bytes of its answer or its request are due from it, and not from us or our client.
    bool is_waited_for() const;
    // Nothing waits to be read, not even its end.
    bool quiet() { return peek() == boost::asio::error::would_block; }
    // Something has come that is nobody's.
    bool unasked() { return !peek(); }
    boost::system::error_code peek();

    struct Exchange {
        ExchangeId id;
        Request request;
        Done done;
    };

    // Whole, or as much of it as its server may begin with.
    bool may_have_run() const;

    // Mostly a request goes out whole at once.
    void write();
    void sent();

    // What stands in out_ goes out once the socket takes it, without its first `size` bytes.
    void wait_writable(std::size_t size);
    // What the server has said by now it has said ahead of the request's end, and its end may be there: that
    // is read first.
    void write_on();

    // The next part of a body that comes as its client sends it. Without its end it provably never ran.
    void write_rest();

    void add_chunk(std::string_view bytes) { append_chunk(out_, bytes); }
    void end_chunks(const Trailers& trailers) { append_last_chunk(out_, trailers); }

    void wait_readable();

    void hear();

    void receive();

    // A peer without power or behind a cut says nothing.
    void bound_silence();

    // Without this the kernel may hold back its acknowledgement for up to 200 ms, and Nagle's algorithm over
    // there a copy of the answer until then: it would come with the next request, as its answer.
    void acknowledge();

    // What is wrong with the answer, if anything is.
    const char* parse();
    // The same of its head, which may not be whole yet; behind a whole one the body begins.
    const char* parse_head();
    void begin_parsing();
    void begin_body();

    // Of a failed attempt no more is kept than of any other; what it means stands in its head.
    bool too_much() const;
    // The rest of the answer is of no use, and its connection ends with it.
    void cut_short();
    // Whether anybody has a use for the answer's body.
    bool needs_body() const;

    // A body that is larger than what is waited for, or may be, or has no end in sight, is passed on.
    bool passes_on() const;
    // Closed by us well before the server does.
    void heed_keep_alive(const boost::beast::http::response_header<>& head);
    // False: nobody wants it, and the exchange is over.
    bool begin_passing();
    void pass();
    // Whoever takes the answer can take more, or wants none.
    void room();
    // Streams of an exchange that is over tell it nothing more.
    void let_go();

    // The connection has ended, which may be the end of its answer as well.
    void connection_ended(ConnectionEnd how);
    // `fault`: of the answer; none: it is cut off.
    void broke(const char* fault);

    // The one place that says whether an answer whose head is read is whole.
    bool is_whole(ConnectionEnd how) const {
        return whinledge::is_whole(delimiter_, parser_->is_done(), how);
    }

    Outcome outcome_of(const boost::beast::http::response_header<>& head) const;

    // The answer is whole.
    void answered();

    // For where it would be within start().
    void fail_later(Outcome outcome = Outcome::refused_connection);

    void fail(Outcome outcome);

    void end(bool keep, End end);

    Upstream* owner_;  // none: closed
    Tcp::socket socket_;
    boost::asio::steady_timer timer_;  // of connecting
    std::string out_, pending_;        // what is written, from out_at_ on; read and not parsed
    std::size_t out_at_ = 0;
    HeadScan scan_;
    using Parser = boost::beast::http::response_parser<PlainBody>;
    std::optional<Parser> parser_;
    std::optional<BodyFeed<Parser>> feed_;
    std::optional<Outcome> outcome_;                 // by its head, once that is read
    BodyDelimiter delimiter_ = BodyDelimiter::none;  // the same
    std::optional<Exchange> exchange_;
    std::chrono::steady_clock::time_point since_;
    int interim_ = 0;
    std::shared_ptr<Stream> out_stream_;  // where its answer is passed on to
    std::chrono::steady_clock::time_point progress_;
    Millis idle_ = 0;  // it may idle for so long
    bool resting_ = false;
    bool connected_ = false, waiting_ = false, writing_ = false;
    bool begun_ = false;    // some of the request was given to the socket
    bool written_ = false;  // all of it
    bool last_ = false;     // its last byte is in out_, or was
    bool reused_ = false;   // it has served before
    bool heard_ = false;    // something of the answer has come
    bool paused_ = false;   // whoever takes the answer has enough for now
};

}  // namespace whinledge
