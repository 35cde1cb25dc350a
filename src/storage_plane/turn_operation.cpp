#include "storage_plane/turn_operation.hpp"

namespace whinledge::storage_plane {

using wire::StorageStatus;

void TurnQuorum::Operation::cancel(const TurnStart& turn) {
    TurnEnd end;
    end.program = turn.program;
    end.turn = turn.turn;
    end.never_ran = true;
    end.keep_for_s = turn.keep_for_s;
    quorum_.cancellations_.push_back(std::move(end));
}

void TurnQuorum::Operation::not_taken(Exchange& exchange, const Asked& asked, const TurnReply& reply,
                                      double now_ms) {
    const auto status = status_of(reply);
    if (status == StorageStatus::stale_map) {
        ++counters().stale_maps;
        exchange.state = asked.epoch < map().epoch ? Exchange::State::idle : Exchange::State::awaits_map;
        return;
    }
    if (!status) ++counters().failed_sends;
    exchange.failed(now_ms, options());
}

void TurnQuorum::Operation::wake_for_retries(const Exchanges& exchanges, double now_ms) {
    for (const auto& [identity, exchange] : exchanges)
        if (exchange.state == Exchange::State::failed && exchange.retry_at_ms > now_ms)
            wake_by(exchange.retry_at_ms);
}

}  // namespace whinledge::storage_plane
