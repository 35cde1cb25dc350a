// A model or tool server of a trial on a socket of this machine: the same pure server as in simulation, on
// this machine's clock, behind HTTP.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "lab/experiment.hpp"
#include "lab/measures.hpp"
#include "lab/prompt_reads.hpp"
#include "lab/timeline.hpp"
#include "tier/http.hpp"

namespace whinledge::lab {

// What a server is to do for a try, as far as its request does not say it.
struct ServerTask {
    ModelRequest model;  // of a turn; its id and priority are the server's to fill in
    Millis work = 0;     // of a tool's call
    std::size_t proxy_zone = 0;
};

// What the servers of a trial have in common.
struct LiveServers {
    LiveServers(const Experiment& of, tier_rig::World& on, Timeline& at, Measures& in, std::uint64_t seed);

    const Experiment& experiment;
    tier_rig::World& world;
    Timeline& timeline;
    Measures& measures;
    PromptReads reads;
    Random random;
    bool tells_load = true;      // `Server-Load`
    bool heeds_priority = true;  // `Priority`
    std::uint64_t next_attempt = 1;
    std::unordered_map<std::string, ServerTask> tasks;  // by `Try-Id`
};

class LiveServer : public std::enable_shared_from_this<LiveServer> {
public:
    struct Options {
        std::string id;  // of this start
        std::size_t zone = 0;
        tier_rig::Tcp::endpoint address;
        bool is_model = true;
        double slowness = 1;  // of a model server
    };
    // Throws boost::system::system_error where it can't listen.
    LiveServer(LiveServers& shared, Options options);

    void start();
    // As if its process had died: its connections are reset.
    void crash();
    void set_slowdown(double factor);
    void set_frozen(bool frozen);
    void set_lost(double share) { lost_share_ = share; }
    void set_grey(double share) { grey_share_ = share; }

    const Options& options() const { return options_; }
    std::uint64_t connections() const { return service_->accepted(); }  // since its start
    std::size_t open() const { return attempts_.size(); }

private:
    struct Attempt;
    using Stream = tier_rig::Stream;
    using Request = tier_rig::Request;
    template <class T>
    using Task = tier_rig::Task<T>;

    Task<bool> answer(Stream& stream, Request& request);
    Task<bool> run(Stream& stream, const Request& request, const ServerTask& task);
    Task<bool> run_turn(Stream& stream, const Request& request, Attempt& attempt);
    Task<bool> run_tool(Stream& stream, const Request& request, Attempt& attempt);
    // Until there is news of the attempt; false: its client has left or this server has ended.
    Task<bool> await_news(Stream& stream, Attempt& attempt);
    Task<bool> write_head(Stream& stream, const Request& request);
    Task<bool> write_event(Stream& stream, Attempt& attempt);
    Task<bool> refuse(Stream& stream, const Request& request, unsigned status);
    tier_rig::Response plain(const Request& request, unsigned status) const;
    void add_load(tier_rig::http::fields& fields) const;
    bool submit(std::uint64_t id, const Request& request, const ServerTask& task);
    // Counts its end; it is none of those that are open from here on.
    void end(const Attempt& attempt, std::uint64_t& count);
    // Its client has left, it is to break off, or this server has ended.
    void abandon(const Attempt& attempt);
    void pump();
    void wake();
    void happened(const ModelEvent& event);
    placement::Load load() const { return model_ ? model_->load() : tool_->load(); }
    void cross(std::size_t proxy_zone, double bytes);

    LiveServers& shared_;
    Options options_;
    std::shared_ptr<tier_rig::HttpService> service_;
    std::unique_ptr<ModelServer> model_;
    std::unique_ptr<ToolServer> tool_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Attempt>> attempts_;
    Millis wakes_;  // when its next step's end is looked for; infinity: not at all
    double lost_share_ = 0, grey_share_ = 0;
    bool frozen_ = false, ended_ = false;
};

}  // namespace whinledge::lab
