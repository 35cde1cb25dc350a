#include "storage_plane/index_snapshot.hpp"

#define XXH_STATIC_LINKING_ONLY  // the state's size, to keep it in place
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>
#include <optional>
#include <type_traits>
#include <utility>

namespace whinledge::storage_plane {
namespace {

constexpr std::uint64_t kMagic = 0x70616e736e696877;  // "whinsnap"
// To be raised with each new kind of record in the log too: an older version has left them out.
constexpr std::uint32_t kVersion = 2;
enum class Kind : std::uint8_t { end = 0, program = 1, turn = 2, entry = 3 };
constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);
constexpr std::size_t kItemsBytesAbout = 60;  // of one item, to make room for them at once

template <class Number>
void put(std::string& into, Number value) {
    static_assert(std::is_trivially_copyable_v<Number>);
    into.append(reinterpret_cast<const char*>(&value), sizeof value);
}

void put(std::string& into, const std::string& text) {
    put(into, static_cast<std::uint32_t>(text.size()));
    into += text;
}

// Takes values off the front; nothing more once one did not fit.
class Cursor {
public:
    explicit Cursor(std::string_view bytes) : bytes_(bytes) {}

    template <class Number>
    Number number() {
        Number value{};
        const std::string_view taken = take(sizeof value);
        if (whole_) std::memcpy(&value, taken.data(), sizeof value);
        return value;
    }
    std::string_view text() { return take(number<std::uint32_t>()); }
    bool whole() const { return whole_; }
    std::size_t left() const { return bytes_.size(); }

private:
    std::string_view take(std::size_t size) {
        whole_ = whole_ && size <= bytes_.size();
        if (!whole_) return {};
        const std::string_view taken = bytes_.substr(0, size);
        bytes_.remove_prefix(size);
        return taken;
    }

    std::string_view bytes_;
    bool whole_ = true;
};

void restore_program(Cursor& cursor, TurnStore::Restoring& into, std::uint64_t first_segment) {
    const std::string_view name = cursor.text();
    const auto touched_ms = cursor.number<std::int64_t>();
    const auto keep_for_s = cursor.number<std::int32_t>();
    const auto oldest_segment = cursor.number<std::uint64_t>();
    std::vector<std::string> continued;
    const auto count = cursor.number<std::uint32_t>();
    for (std::uint32_t i = 0; i < count && cursor.whole(); ++i) continued.emplace_back(cursor.text());
    if (!cursor.whole()) return;
    into.program(name, touched_ms, keep_for_s, oldest_segment, first_segment);
    into.continued(std::move(continued));
}

void restore_turn(Cursor& cursor, TurnStore::Restoring& into, std::uint64_t first_segment) {
    HeldTurn turn;
    const std::string_view id = cursor.text();
    turn.parent = cursor.text();
    const auto holders = cursor.number<std::uint32_t>();
    for (std::uint32_t i = 0; i < holders && cursor.whole(); ++i)
        turn.holders.push_back(cursor.number<std::int64_t>());
    turn.place.segment = cursor.number<std::uint64_t>();
    turn.place.offset = cursor.number<std::uint32_t>();
    turn.place.size = cursor.number<std::uint32_t>();
    turn.digest = cursor.number<std::uint64_t>();
    if (cursor.whole() && turn.place.segment >= first_segment) into.turn(id, std::move(turn));
}

void restore_entry(Cursor& cursor, TurnStore::Restoring& into) {
    wire::LedgerEntry entry;
    entry.turn = cursor.text();
    entry.tokens = cursor.number<std::int64_t>();
    entry.state = cursor.number<std::int32_t>();
    if (cursor.whole()) into.entry(entry);
}

}  // namespace

const char* name_of(SnapshotFault fault) {
    switch (fault) {
        case SnapshotFault::none:
            return "none";
        case SnapshotFault::unreadable:
            return "unreadable";
        case SnapshotFault::damaged:
            return "damaged";
        case SnapshotFault::other_version:
            return "other_version";
        case SnapshotFault::other_identity:
            return "other_identity";
        case SnapshotFault::malformed:
            return "malformed";
    }
    return "unknown";
}

struct SnapshotEncoder::Checksum {
    XXH3_state_t state;
};

SnapshotEncoder::SnapshotEncoder(const SnapshotHead& head) : checksum_(std::make_unique<Checksum>()) {
    XXH3_64bits_reset(&checksum_->state);
    put(pending_, kMagic);
    put(pending_, kVersion);
    put(pending_, head.identity);
    put(pending_, head.covered.segment);
    put(pending_, head.covered.bytes);
    put(pending_, static_cast<std::uint32_t>(head.states.size()));
    for (const std::string& state : head.states) put(pending_, state);
}

SnapshotEncoder::~SnapshotEncoder() = default;

void SnapshotEncoder::program(const std::string& name, const HeldProgram& held) {
    put(pending_, Kind::program);
    put(pending_, name);
    put(pending_, held.touched_ms);
    put(pending_, held.keep_for_s);
    put(pending_, held.oldest_segment);
    put(pending_, static_cast<std::uint32_t>(held.continued.size()));
    for (const std::string& name : held.continued) put(pending_, name);
}

void SnapshotEncoder::turn(const std::string& id, const HeldTurn& held) {
    put(pending_, Kind::turn);
    put(pending_, id);
    put(pending_, held.parent);
    put(pending_, static_cast<std::uint32_t>(held.holders.size()));
    for (const std::int64_t holder : held.holders) put(pending_, holder);
    put(pending_, held.place.segment);
    put(pending_, held.place.offset);
    put(pending_, held.place.size);
    put(pending_, held.digest);
}

void SnapshotEncoder::entry(const wire::LedgerEntry& entry) {
    put(pending_, Kind::entry);
    put(pending_, entry.turn);
    put(pending_, std::int64_t{entry.tokens});
    put(pending_, std::int32_t{entry.state});
}

void SnapshotEncoder::finish() {
    put(pending_, Kind::end);
    XXH3_64bits_update(&checksum_->state, pending_.data(), pending_.size());
    const std::uint64_t checksum = XXH3_64bits_digest(&checksum_->state);
    XXH3_64bits_reset(&checksum_->state);
    put(pending_, checksum);
}

std::string SnapshotEncoder::take() {
    XXH3_64bits_update(&checksum_->state, pending_.data(), pending_.size());
    return std::exchange(pending_, {});
}

SnapshotResult<Snapshot> Snapshot::parse(std::string bytes, std::int64_t identity) {
    if (bytes.size() < kChecksumBytes) return SnapshotFault::damaged;
    std::uint64_t checksum = 0;
    std::memcpy(&checksum, bytes.data() + bytes.size() - kChecksumBytes, kChecksumBytes);
    bytes.resize(bytes.size() - kChecksumBytes);
    if (checksum != XXH3_64bits(bytes.data(), bytes.size())) return SnapshotFault::damaged;
    Snapshot snapshot;
    snapshot.bytes_ = std::move(bytes);
    Cursor cursor(snapshot.bytes_);
    const auto magic = cursor.number<std::uint64_t>();
    const auto version = cursor.number<std::uint32_t>();
    if (!cursor.whole() || magic != kMagic) return SnapshotFault::malformed;
    if (version != kVersion) return SnapshotFault::other_version;
    snapshot.head_.identity = cursor.number<std::int64_t>();
    snapshot.head_.covered.segment = cursor.number<std::uint64_t>();
    snapshot.head_.covered.bytes = cursor.number<std::uint64_t>();
    const auto states = cursor.number<std::uint32_t>();
    for (std::uint32_t i = 0; i < states && cursor.whole(); ++i)
        snapshot.head_.states.emplace_back(cursor.text());
    if (!cursor.whole()) return SnapshotFault::malformed;
    if (snapshot.head_.identity != identity) return SnapshotFault::other_identity;
    snapshot.items_at_ = snapshot.bytes_.size() - cursor.left();
    return snapshot;
}

bool Snapshot::restore(TurnStore& store, std::uint64_t first_segment) const {
    Cursor cursor(std::string_view(bytes_).substr(items_at_));
    TurnStore::Restoring into(store, cursor.left() / kItemsBytesAbout);
    while (cursor.whole()) {
        switch (cursor.number<Kind>()) {
            case Kind::end:
                return cursor.whole() && cursor.left() == 0;
            case Kind::program:
                restore_program(cursor, into, first_segment);
                break;
            case Kind::turn:
                restore_turn(cursor, into, first_segment);
                break;
            case Kind::entry:
                restore_entry(cursor, into);
                break;
            default:
                return false;
        }
    }
    return false;
}

}  // namespace whinledge::storage_plane
