// How many bytes of turns a member gives to repair in one reply. A turn waits on the member's link, and for
// its processor, behind the reply that went just before it: while turns come replies are kept short, and
// whatever the turns leave goes to repair all the same, one short reply after the other. Only for so long:
// who has repaired for a while gets long replies, so that it is whole in its time (`guarantees.syncS`)
// whatever the traffic and however long a reply is under way. Pure: times in ms, sizes in bytes; no errors.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace whinledge::storage_plane {

class RepairPace {
public:
    struct Options {
        bool on = false;  // off: replies are long whatever comes, as days of the bench showed no gain
        std::size_t beside_turns_bytes = 64U << 10;  // 0.9 ms of a link of 600 Mbit/s
        std::size_t most_bytes = 1U << 20;           // 14 ms of it
        std::int64_t quiet_ms = 250;                 // since the last call of a sidecar: nobody waits
        std::int64_t patience_ms = 1000;             // of one that repairs: a quarter of syncS
    };
    RepairPace() : RepairPace(Options()) {}
    explicit RepairPace(Options options) : options_(options) {}

    // A call of a sidecar has come (steady time).
    void note_turn(std::int64_t now_ms) { last_turn_ms_ = now_ms; }
    // Of a reply that is written now; a turn of more goes alone. `repairing_ms`: for how long the asker has
    // repaired; none: an earlier build, that is not kept waiting.
    std::size_t reply_bytes(std::int64_t now_ms, std::optional<std::int64_t> repairing_ms) const;

private:
    Options options_;
    std::optional<std::int64_t> last_turn_ms_;
};

}  // namespace whinledge::storage_plane
