#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "storage_map/wanted_holders.hpp"
#include "storage_plane/turn_operation.hpp"

namespace whinledge::storage_plane {

using wire::StorageStatus;

// Tells the holders of a chain that a turn goes on from it, so that they keep it for as long as that turn.
// Members let go of what they hold by program: another program's turns would go with that program. Nobody
// waits for it.
class TurnQuorum::KeepOperation : public Operation {
public:
    KeepOperation(TurnQuorum& quorum, KeptChain chain, double now_ms)
        : Operation(quorum, now_ms),
          chain_(std::move(chain)),
          give_up_ms_(now_ms + options().background_ms) {}

    void map_changed() override {
        for (auto& [told, exchange] : exchanges_)
            if (exchange.state == Exchange::State::awaits_map || exchange.state == Exchange::State::failed)
                exchange = Exchange();
    }

    void replied(const Asked& asked, const TurnReply& reply, double now_ms) override {
        Exchange& exchange = exchanges_[{asked.member, asked.id}];
        const auto status = status_of(reply);
        // One that does not vote keeps what it holds all the same.
        if (status == StorageStatus::ok || status == StorageStatus::not_voting)
            exchange.state = Exchange::State::done;
        else
            not_taken(exchange, asked, reply, now_ms);
    }

    void step(double now_ms) override {
        bool all_told = true;
        for (const auto& [member, programs] : programs_by_holder()) {
            const wire::StorageMember* const holder = storage_map::find_member(map(), member);
            for (const std::string& program : programs) {
                Exchange& exchange = exchanges_[{member, program}];
                all_told = all_told && exchange.state == Exchange::State::done;
                if (exchange.due(now_ms)) tell_holder(*holder, program, exchange, now_ms);
                if (exchange.state == Exchange::State::failed) wake_by(exchange.retry_at_ms);
            }
        }
        if (all_told || now_ms >= give_up_ms_) return end_here();
        wake_by(give_up_ms_);
    }

private:
    // Of the present map.
    std::map<std::int64_t, std::set<std::string>> programs_by_holder() const {
        std::map<std::int64_t, std::set<std::string>> programs;
        for (const KeptTurn& turn : chain_.turns)
            for (const std::int64_t member :
                 storage_map::wanted_holders(turn.id, turn.holders, map(), options().survive))
                programs[member].insert(turn.program);
        return programs;
    }

    void tell_holder(const wire::StorageMember& holder, const std::string& program, Exchange& exchange,
                     double now_ms) {
        wire::BeginTurnRequest request;
        request.program = program;
        request.turn = chain_.by_turn;
        request.keep_for_s = chain_.keep_for_s;
        exchange.sent(now_ms);
        Asked asked;
        asked.id = program;
        send(holder, std::move(request), options().begin_patience_ms, now_ms, std::move(asked));
    }

    KeptChain chain_;
    double give_up_ms_;
    std::map<std::pair<std::int64_t, std::string>, Exchange> exchanges_;  // by member and program
};

std::unique_ptr<TurnQuorum::Operation> TurnQuorum::keep_operation(KeptChain chain, double now_ms) {
    return std::make_unique<KeepOperation>(*this, std::move(chain), now_ms);
}

}  // namespace whinledge::storage_plane
