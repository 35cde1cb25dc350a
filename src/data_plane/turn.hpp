// A turn of a conversation on its way through the proxy: what its server is sent, what its client was handed,
// and what of both is kept. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "data_plane/event_stream.hpp"
#include "data_plane/request_facts.hpp"
#include "storage_plane/turn_client.hpp"

namespace whinledge::data_plane {

// Where turns are kept: storage_plane::TurnClient, or a stand-in.
class TurnStore {
public:
    virtual ~TurnStore() = default;
    virtual void begin(const storage_plane::TurnStart& turn, Millis timeout,
                       std::function<void(storage_plane::BegunTurn)> done) = 0;
    virtual void end(const storage_plane::TurnEnd& turn, Millis timeout,
                     std::function<void(bool durable)> done) = 0;
};

class Turn {
public:
    // What of a turn outlasts it.
    enum class Kept {
        record,       // its input and output, with what its program has used
        tokens_only,  // its client sends the whole prompt each time
    };
    // `keep_for_s`: seconds, of its record and its program's ledger. `chunk_tokens`: tokens that one event
    // holds.
    Turn(const RequestFacts& facts, std::string input, int keep_for_s, int chunk_tokens,
         Kept kept = Kept::record);

    storage_plane::TurnStart start() const;
    // The body for its server: each earlier turn's input and output, oldest first, then the new input.
    std::string body(const std::vector<wire::TurnRecord>& chain) const;

    // Whether its end must wait until its record is durable.
    bool has_record() const { return kept_ == Kept::record; }

    // Bytes of the answer that its client is handed.
    void handed(std::string_view bytes);
    std::int64_t tokens() const { return events_ * chunk_tokens_; }

    // How it ended: as a whole, at that time of day; broken off or turned away by its server; never run.
    storage_plane::TurnEnd whole(std::int64_t ended_ms) const;
    storage_plane::TurnEnd broken() const;
    storage_plane::TurnEnd never_ran() const;

private:
    storage_plane::TurnEnd end() const;

    RequestFacts facts_;
    std::string input_, output_;
    int keep_for_s_;
    std::int64_t chunk_tokens_, events_ = 0;
    Kept kept_;
    EventStreamParser parser_;
};

}  // namespace whinledge::data_plane
