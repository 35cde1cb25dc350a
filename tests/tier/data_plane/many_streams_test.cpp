// One of many servers is gone while streams are open on all of them: what breaks, what does not, and where
// later ones go.
#include <algorithm>
#include <list>
#include <map>
#include <set>

#include "stream_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

// A server that begins each stream with an event of its own and goes on when it is told to.
class StreamServer {
public:
    StreamServer(boost::asio::io_context& io, std::string name)
        : name_(std::move(name)), server_(io, [this](const auto& request) { return begin(request); }) {}

    const std::string& name() const { return name_; }
    std::string address() const { return server_.address(); }
    std::size_t open() const { return streams_.size(); }
    std::size_t arrived() const { return server_.requests.size(); }

    static std::string first_event(const std::string& id, const std::string& server) {
        return "id: 1\ndata: " + id + " at " + server + "\n\n";
    }
    static std::string rest(const std::string& id) { return "id: 2\ndata: the rest of " + id + "\n\n"; }

    // All open streams go on to their ends.
    void end_streams() {
        for (const auto& [connection, id] : std::exchange(streams_, {}))
            server_.send(connection, chunk(rest(id)) + kLastChunk);
    }
    // Its process is gone: each connection is reset, new ones are refused.
    void crash() {
        boost::system::error_code ignored;
        for (const auto& connection : server_.connections)
            connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        server_.close();
    }

private:
    Reply begin(const ScriptedServer::Request& request) {
        const std::string id = text_of(request, "Try-Id");
        streams_[asked_connection()] = id;
        return Reply{stream_head(request) + chunk(first_event(id, name_))};
    }
    // The one that has had a request more than was known.
    std::size_t asked_connection() {
        const auto& connections = server_.connections;
        known_requests_.resize(connections.size());
        std::size_t asked = 0;
        for (std::size_t i = 0; i < connections.size(); ++i)
            if (connections[i]->requests > std::exchange(known_requests_[i], connections[i]->requests))
                asked = i;
        return asked;
    }

    std::string name_;
    std::map<std::size_t, std::string> streams_;  // that are open: connection, Try-Id
    std::vector<std::size_t> known_requests_;     // of each connection
    ScriptedServer server_;
};

// Streams and turns in turn.
struct ManyStreams : StreamRig {
    static constexpr std::size_t kServers = 9, kStreams = 60, kTurns = kStreams / 2;

    std::list<StreamServer> servers;

    void start_all() {
        configure();
        std::vector<std::pair<std::string, std::string>> listed;
        for (std::size_t i = 0; i < kServers; ++i) {
            const StreamServer& server = servers.emplace_back(io, "i-" + std::to_string(i));
            listed.emplace_back(server.name(), server.address());
        }
        list(listed);
    }
    struct Opened {
        std::string id;
        RawClient* client;
    };
    std::vector<Opened> open_streams(const std::string& prefix) {
        std::vector<Opened> opened;
        const std::size_t begun_before = turns.begun.size();
        for (std::size_t i = 0; i < kStreams; ++i) {
            const std::string id = prefix + std::to_string(i);
            RawClient& c = client();
            c.send(i % 2 == 0 ? request_to("/stream/x", id)
                              : request_to("/turn/x", id, turn_fields("program-" + id)));
            opened.push_back({id, &c});
        }
        until([&] { return turns.begun.size() == begun_before + kTurns; });
        for (std::size_t i = begun_before; i < turns.begun.size(); ++i) begin_turn(i);
        until([&] {
            return std::all_of(opened.begin(), opened.end(), [](const Opened& o) {
                return o.client->ended() || o.client->has("\n\n\r\n");
            });
        });
        return opened;
    }
    bool is_at(const Opened& opened, const StreamServer& server) const {
        return chunked_body(opened.client->heard()).bytes ==
               StreamServer::first_event(opened.id, server.name());
    }
    // Which server a stream that has come whole was at; empty: it has not, or not byte for byte.
    std::string whole_at(const Opened& opened) const {
        const ChunkedBody body = chunked_body(opened.client->heard());
        if (!body.ended || body.misframed || !opened.client->heard().starts_with("HTTP/1.1 200 ")) return "";
        for (const StreamServer& server : servers)
            if (body.bytes ==
                StreamServer::first_event(opened.id, server.name()) + StreamServer::rest(opened.id))
                return server.name();
        return "";
    }
    void end_all(const StreamServer& gone) {
        for (StreamServer& server : servers)
            if (&server != &gone) server.end_streams();
    }
    // Copies of all turns that have ended are there.
    void confirm_turns(std::size_t ended) {
        until([&] { return turns.ended.size() == ended; });
        for (auto& turn : turns.ended)
            if (turn.done) std::exchange(turn.done, nullptr)(true);
    }
    std::set<std::string> settled_turns(bool whole) const {
        std::set<std::string> ids;
        for (const auto& turn : turns.ended)
            if (turn.turn.whole == whole) ids.insert(turn.turn.turn);
        return ids;
    }
    std::size_t arrived_at_all() const {
        std::size_t arrived = 0;
        for (const StreamServer& server : servers) arrived += server.arrived();
        return arrived;
    }
};

TEST_F(ManyStreams, OneOfNineServersGoneBreaksItsOwnAndNoOthers) {
    start_all();
    const std::vector<Opened> opened = open_streams("before-");
    for (const StreamServer& server : servers) EXPECT_GT(server.open(), 0U) << server.name();
    EXPECT_EQ(arrived_at_all(), kStreams);

    StreamServer& gone = *std::next(servers.begin(), 4);
    std::vector<Opened> lost, kept;
    for (const Opened& o : opened) (is_at(o, gone) ? lost : kept).push_back(o);
    ASSERT_EQ(lost.size(), gone.open());
    ASSERT_FALSE(lost.empty());
    gone.crash();
    until([&] {
        return std::all_of(lost.begin(), lost.end(), [](const auto& o) { return o.client->ended(); });
    });
    io.poll();
    for (const Opened& o : lost) {
        EXPECT_TRUE(is_at(o, gone)) << "what came first, and nothing behind it: " << o.client->heard();
        EXPECT_FALSE(chunked_body(o.client->heard()).ended) << o.id;
    }
    for (const Opened& o : kept) EXPECT_FALSE(o.client->ended()) << o.id;

    end_all(gone);
    confirm_turns(kTurns);
    until([&] {
        return std::all_of(kept.begin(), kept.end(), [&](const auto& o) { return !whole_at(o).empty(); });
    });
    settled();
    EXPECT_EQ(arrived_at_all(), kStreams) << "none ran twice";
    EXPECT_EQ(host.counters.failed, lost.size());
    EXPECT_EQ(host.counters.served, kept.size());
    ASSERT_EQ(turns.ended.size(), kTurns);
    const std::set<std::string> whole = settled_turns(true), broken = settled_turns(false);
    EXPECT_EQ(whole.size() + broken.size(), kTurns) << "each once";
    for (const Opened& o : lost) EXPECT_FALSE(whole.contains(o.id)) << o.id;
    for (const Opened& o : kept) EXPECT_FALSE(broken.contains(o.id)) << o.id;
}

TEST_F(ManyStreams, WhatComesAfterwardsGoesToTheOtherEight) {
    start_all();
    open_streams("before-");
    StreamServer& gone = *std::next(servers.begin(), 4);
    gone.crash();
    end_all(gone);
    confirm_turns(kTurns);
    settled();
    const std::size_t arrived_before = arrived_at_all(), failed_before = host.counters.failed;

    const std::vector<Opened> opened = open_streams("after-");
    end_all(gone);
    confirm_turns(2 * kTurns);
    until([&] {
        return std::all_of(opened.begin(), opened.end(), [&](const auto& o) { return !whole_at(o).empty(); });
    });
    settled();
    std::set<std::string> served_by;
    for (const Opened& o : opened) served_by.insert(whole_at(o));
    EXPECT_EQ(served_by.size(), kServers - 1);
    EXPECT_FALSE(served_by.contains(gone.name()));
    EXPECT_EQ(arrived_at_all() - arrived_before, kStreams) << "each ran once";
    EXPECT_EQ(host.counters.failed, failed_before);
}

}  // namespace
}  // namespace whinledge::data_plane::test
