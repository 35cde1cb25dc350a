// Stand-ins for servers: tools, which answer with bytes of their own, and model servers, which stream events.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>

#include "tier/http.hpp"

namespace whinledge::tier_rig {

inline constexpr int kTokensInEvent = 2;  // `chunkTokens` of the engine

struct ServerOptions {
    std::string id, service, zone;
    Tcp::endpoint address;
    int slots = 8, queue = 4;
    std::size_t most_connections = 200;
    bool engine = false;
    Millis latency = 20;  // of a tool, mean
    Millis token_ms = 4;  // of a model server, alone
    std::int64_t memory_tokens = 60000;
    double fail_share = 0;    // answers 500 of its own
    double break_share = 0;   // breaks off midway
    bool tells_load = false;  // `Server-Load`
};

class Server : public std::enable_shared_from_this<Server> {
public:
    Server(World& world, ServerOptions options);
    void start();
    void stop();                       // as if it had crashed
    void leave() { leaving_ = true; }  // draining: `Connection: close` in its answers
    bool leaving() const { return leaving_; }

    const ServerOptions& options() const { return options_; }
    int running() const { return running_; }
    std::size_t waiting() const { return waiting_.size(); }
    std::int64_t tokens_read() const { return tokens_read_; }
    std::int64_t tokens_kept() const { return tokens_kept_; }

private:
    struct Waiter;
    enum class Entry { in, full, late, left };

    Task<bool> answer(Stream& stream, Request& request);
    Task<bool> answer_health(Stream& stream, Request& request);
    Task<bool> answer_report(Stream& stream, Request& request);
    Task<bool> run_tool(Stream& stream, Request& request, Run& run);
    // An answer that is cut short, is none, or has bytes after it; the connection ends.
    Task<void> spoil_answer(Stream& stream, Response response, Run& run);
    Task<bool> run_engine(Stream& stream, Request& request, Run& run);
    Task<Entry> enter(Stream& stream, Millis limit);
    void release();
    // Sleeps in steps; false: the client has left.
    Task<bool> work(Stream& stream, Millis span);
    Response plain(const Request& request, unsigned status) const;
    Task<bool> refuse(Stream& stream, const Request& request, unsigned status);
    void add_common(http::fields& fields) const;
    Millis prefill(const Request& request);
    void keep(const std::string& part, std::int64_t tokens);

    World& world_;
    ServerOptions options_;
    std::shared_ptr<HttpService> service_;
    int running_ = 0;
    bool leaving_ = false, stopped_ = false;
    std::list<std::shared_ptr<Waiter>> waiting_;
    std::list<std::pair<std::string, std::int64_t>> parts_;  // kept ones, the longest unused last
    std::int64_t parts_tokens_ = 0, tokens_read_ = 0, tokens_kept_ = 0;
};

}  // namespace whinledge::tier_rig
