// The storage plane as the data plane uses it: begin a turn (reserve its tokens, read the chain it
// continues), end it (write it, settle what it used). Quorums, hedging and retries are decided here.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/*.thrift
#include "rpc/client.hpp"
#include "storage_types.h"
#include "failure_domain/loss_tolerance.hpp"
#include "storage_plane/turn_types.hpp"

namespace whinledge::storage_plane {

class TurnClient {
public:
    struct Options {
        std::string zone;                         // of this process
        failure_domain::LossTolerance survive{};  // that the copies of a turn have to outlast
        std::size_t cache_bytes = 24U << 20;      // of recent turns
        // What this process has under way at model servers, to be told with turns, and, where it `asks`, of
        // which servers it wants to know what others have; empty: nothing is told.
        std::function<wire::LoadReport(bool asks)> load{};
        std::function<void(const ToldLoads&)> loads_told{};
    };
    TurnClient(boost::asio::io_context& io, rpc::Client& client, Options options);
    ~TurnClient();

    // Newer maps replace older ones.
    void set_map(const wire::StorageMap& map);
    bool has_map() const;

    // `done` once, on the loop's thread, within `timeout_ms` and a little.
    void begin(const TurnStart& turn, double timeout_ms, std::function<void(BegunTurn)> done);
    // `done(true)` once enough copies in different zones are synced and the client may have the end of its
    // answer. Goes on trying until `timeout_ms`; then done(false). For turns that are not whole `done` may be
    // empty.
    void end(const TurnEnd& turn, double timeout_ms, std::function<void(bool durable)> done);

    std::string counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::storage_plane
