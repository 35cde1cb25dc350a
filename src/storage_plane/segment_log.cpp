#include "storage_plane/segment_log.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <optional>

namespace whinledge::storage_plane {
namespace {

constexpr std::uint64_t kMagic = 0x31676f6c6e696877;  // "whinlog1"
constexpr std::uint32_t kMostRecordBytes = 64U << 20;
constexpr std::uint64_t kMostLookedAt = 64U
                                        << 20;  // bytes, in search of a whole record behind one that is not
constexpr std::string_view kPrefix = "segment-", kSuffix = ".log";

struct Header {
    std::uint64_t magic = kMagic;
    std::uint64_t number = 0;
    std::uint64_t previous = 0;        // 0: none
    std::uint64_t previous_bytes = 0;  // committed in it
    std::uint64_t checksum = 0;
};
struct RecordHead {
    std::uint32_t size = 0;
    std::uint32_t committed = 0;  // bytes of its segment that were synced before it was appended
    std::uint64_t checksum = 0;
};
static_assert(sizeof(Header) == 40 && sizeof(RecordHead) == 16);

// A record's checksum holds at its own place alone: bytes of another segment or offset don't pass.
std::uint64_t checksum_of(std::string_view payload, std::uint64_t segment, std::uint64_t offset) {
    return XXH3_64bits_withSeed(payload.data(), payload.size(), segment * 0x9e3779b97f4a7c15ULL + offset + 1);
}

std::uint64_t checksum_of(const Header& header) { return XXH3_64bits(&header, offsetof(Header, checksum)); }

std::string name_of(std::uint64_t number) {
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(number));
    return std::string(kPrefix) + digits + std::string(kSuffix);
}

std::optional<std::uint64_t> number_of(const std::string& name) {
    if (name.size() != kPrefix.size() + 16 + kSuffix.size()) return std::nullopt;
    if (!name.starts_with(kPrefix) || !name.ends_with(kSuffix)) return std::nullopt;
    std::uint64_t number = 0;
    for (const char digit : name.substr(kPrefix.size(), 16)) {
        const std::size_t value = std::string_view("0123456789abcdef").find(digit);
        if (value == std::string_view::npos) return std::nullopt;
        number = number << 4 | value;
    }
    return number;
}

std::optional<Header> header_of(std::string_view bytes, std::uint64_t number) {
    Header header;
    if (bytes.size() < sizeof header) return std::nullopt;
    std::memcpy(&header, bytes.data(), sizeof header);
    if (header.magic != kMagic || header.number != number || header.checksum != checksum_of(header))
        return std::nullopt;
    return header;
}

// Whether a record behind `bad` says that what lies there was synced: then it is damage, and no torn tail.
bool committed_behind(std::uint64_t number, std::string_view bytes, std::uint64_t bad) {
    std::uint64_t looked_at = 0;
    for (std::uint64_t at = bad + 1; at + sizeof(RecordHead) <= bytes.size(); ++at) {
        RecordHead head;
        std::memcpy(&head, bytes.data() + at, sizeof head);
        const bool could_be = head.committed > bad && head.committed <= at && head.size <= kMostRecordBytes &&
                              at + sizeof head + head.size <= bytes.size();
        if (!could_be) continue;
        if (head.checksum == checksum_of(bytes.substr(at + sizeof head, head.size), number, at)) return true;
        looked_at += head.size;
        if (looked_at > kMostLookedAt) return false;
    }
    return false;
}

// The end in its segment of the whole records in `bytes`, which lie there at `at`; each is visited.
std::uint64_t visit_records(std::uint64_t number, std::string_view bytes, std::uint64_t at,
                            const SegmentLog::Visit& visit) {
    while (bytes.size() >= sizeof(RecordHead)) {
        RecordHead head;
        std::memcpy(&head, bytes.data(), sizeof head);
        if (head.size > kMostRecordBytes || sizeof head + head.size > bytes.size()) break;
        const std::string_view payload = bytes.substr(sizeof head, head.size);
        if (head.checksum != checksum_of(payload, number, at)) break;
        visit(Place{number, static_cast<std::uint32_t>(at + sizeof head), head.size}, payload);
        bytes.remove_prefix(sizeof head + head.size);
        at += sizeof head + head.size;
    }
    return at;
}

}  // namespace

DiskResult<std::unique_ptr<SegmentLog>> SegmentLog::open(Folder& folder, Options options, const Visit& visit,
                                                         Replay& replay, const Resume* resume) {
    std::unique_ptr<SegmentLog> log(new SegmentLog(folder, options));
    if (auto done = log->replay_all(visit, replay, resume); !done) return done.error();
    return log;
}

DiskResult<void> SegmentLog::replay_all(const Visit& visit, Replay& replay, const Resume* resume) {
    auto names = folder_.list();
    if (!names) return names.error();
    std::vector<std::uint64_t> numbers;
    for (const std::string& name : names.value())
        if (const auto number = number_of(name)) numbers.push_back(*number);
    std::sort(numbers.begin(), numbers.end());

    auto chain = read_chain(numbers, replay);
    if (!chain) return chain.error();
    const std::vector<Found>& found = chain.value();
    bool resumed = false;
    if (resume && !replay.damaged) {
        const bool reclaimed = !found.empty() && resume->covered.segment < found.front().number;
        auto goes_on = goes_on_from(found, resume->covered);
        if (!goes_on) return goes_on.error();
        // What it covers was committed when it was written.
        if (!goes_on.value() && !reclaimed) replay.damaged = true;
        resumed = goes_on.value() && resume->accept(found.front().number);
    }
    if (auto read = read_records(found, resumed ? resume->covered : Covered{}, visit, replay); !read)
        return read;
    if (resumed && replay.damaged) {
        resume->give_up();
        segments_.clear();
        unchecked_.clear();
        bytes_ = replay.records = replay.bytes = 0;
        if (auto read = read_records(found, Covered{}, visit, replay); !read) return read;
    }
    if (!numbers.empty()) {
        current_ = numbers.back() + 1;
        if (auto synced = folder_.sync(); !synced) return synced.error();
    }
    return boost::outcome_v2::success();
}

// Whether all that is covered is there, as far as headers and sizes say.
DiskResult<bool> SegmentLog::goes_on_from(const std::vector<Found>& chain, const Covered& covered) {
    for (std::size_t i = 0; i < chain.size() && chain[i].number <= covered.segment; ++i) {
        const bool last_covered = chain[i].number == covered.segment;
        const bool bounded = i + 1 < chain.size();
        std::uint64_t counts = last_covered ? covered.bytes : 0;
        if (bounded && last_covered && chain[i + 1].previous_bytes < counts) return false;
        if (bounded && !last_covered) counts = chain[i + 1].previous_bytes;
        auto size = chain[i].file->size();
        if (!size) return size.error();
        if (size.value() < counts) return false;
        if (last_covered) return true;
    }
    return false;
}

DiskResult<void> SegmentLog::read_records(const std::vector<Found>& chain, const Covered& covered,
                                          const Visit& visit, Replay& replay) {
    for (std::size_t i = 0; i < chain.size(); ++i) {
        const Found* next = i + 1 < chain.size() ? &chain[i + 1] : nullptr;
        std::uint64_t end = 0;
        if (chain[i].number < covered.segment) {
            end = next->previous_bytes;
            unchecked_.push_back({chain[i].number, sizeof(Header), end});
        } else {
            auto read = read_segment(chain[i], next, covered, visit, replay);
            if (!read) return read.error();
            end = read.value();
            replay.bytes += end;
        }
        segments_.push_back({chain[i].number, end});
        bytes_ += end;
    }
    return boost::outcome_v2::success();
}

// The end of what counts in it. Records that are covered are checked, and not visited.
DiskResult<std::uint64_t> SegmentLog::read_segment(const Found& segment, const Found* next,
                                                   const Covered& covered, const Visit& visit,
                                                   Replay& replay) {
    const bool bounded = next && next->previous == segment.number;
    auto size = segment.file->size();
    if (!size) return size.error();
    const std::uint64_t counts = bounded ? next->previous_bytes : size.value();
    auto bytes = segment.file->read(0, std::min(counts, size.value()));
    if (!bytes) return bytes.error();
    const std::uint64_t covered_bytes = segment.number == covered.segment ? covered.bytes : 0;
    const auto visit_news = [&](const Place& place, std::string_view payload) {
        if (place.offset <= covered_bytes) return;
        visit(place, payload);
        ++replay.records;
    };
    const std::string_view all = bytes.value();
    const std::uint64_t end = visit_records(segment.number, all.substr(std::min(sizeof(Header), all.size())),
                                            sizeof(Header), visit_news);
    if ((bounded && end < counts) || end < covered_bytes) replay.damaged = true;
    if (next) return end;
    if (committed_behind(segment.number, all, end)) replay.damaged = true;
    replay.cut_bytes += size.value() - std::min(end, size.value());
    if (size.value() > end)
        if (auto cut = segment.file->truncate(end); !cut) return cut.error();
    // A process that was killed may have left whole records unsynced: they count, so they have to last.
    if (auto synced = segment.file->sync(); !synced) return synced.error();
    return end;
}

DiskResult<SegmentLog::Scrubbed> SegmentLog::scrub(std::uint64_t most_bytes) {
    Scrubbed scrubbed;
    if (unchecked_.empty()) return scrubbed;
    Unchecked& part = unchecked_.front();
    const std::uint64_t left = part.to - part.from;
    auto file = folder_.open(name_of(part.segment), Folder::Open::existing);
    if (!file) return file.error();
    auto bytes = file.value()->read(part.from, std::min(most_bytes, left));
    if (!bytes) return bytes.error();
    RecordHead head;
    if (bytes.value().size() >= sizeof head) std::memcpy(&head, bytes.value().data(), sizeof head);
    const std::uint64_t first = sizeof head + std::uint64_t{head.size};
    if (first > bytes.value().size() && first <= left) {
        bytes = file.value()->read(part.from, first);
        if (!bytes) return bytes.error();
    }
    const std::uint64_t end =
        visit_records(part.segment, bytes.value(), part.from, [](const Place&, std::string_view) {});
    scrubbed.bytes = end - part.from;
    scrubbed.damaged = scrubbed.bytes == 0 && left > 0;
    part.from = end;
    if (part.from == part.to) unchecked_.pop_front();
    return scrubbed;
}

std::uint64_t SegmentLog::unchecked_bytes() const {
    std::uint64_t bytes = 0;
    for (const Unchecked& part : unchecked_) bytes += part.to - part.from;
    return bytes;
}

bool SegmentLog::is_unchecked(std::uint64_t segment) const {
    return std::any_of(unchecked_.begin(), unchecked_.end(),
                       [&](const Unchecked& part) { return part.segment == segment; });
}

SegmentLog::Covered SegmentLog::end() const {
    if (segments_.empty()) return {};
    return {segments_.back().number, segments_.back().bytes};
}

// Each header names the segment before: from the newest back, so that segments which failed and were
// abandoned are left out (and removed). Oldest first.
DiskResult<std::vector<SegmentLog::Found>> SegmentLog::read_chain(const std::vector<std::uint64_t>& numbers,
                                                                  Replay& replay) {
    std::vector<Found> chain;
    std::uint64_t wanted = numbers.empty() ? 0 : numbers.back();
    for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
        auto file = folder_.open(name_of(*number), Folder::Open::existing);
        if (!file) return file.error();
        auto bytes = file.value()->read(0, sizeof(Header));
        if (!bytes) return bytes.error();
        const auto header = header_of(bytes.value(), *number);
        const bool void_newest =
            chain.empty() && !header;  // its first commit never ended, unless records say so
        if (void_newest) {
            auto size = file.value()->size();
            if (!size) return size.error();
            auto all = file.value()->read(0, size.value());
            if (!all) return all.error();
            if (committed_behind(*number, all.value(), 0)) replay.damaged = true;
        }
        if (void_newest || *number > wanted) {
            if (auto removed = folder_.remove(name_of(*number)); !removed) return removed.error();
            if (void_newest && number + 1 != numbers.rend()) wanted = *(number + 1);
            continue;
        }
        if (*number != wanted || !header) replay.damaged = true;
        if (!header) continue;
        chain.push_back({*number, std::move(file.value()), header->previous, header->previous_bytes});
        wanted = header->previous;
    }
    std::reverse(chain.begin(), chain.end());
    return chain;
}

bool SegmentLog::has_room(std::uint64_t bytes) const {
    return bytes_ + pending_.size() + bytes + sizeof(RecordHead) + sizeof(Header) <= options_.disk_bytes;
}

void SegmentLog::roll() {
    if (!file_ || !pending_.empty()) return;
    file_.reset();
    ++current_;
    committed_ = 0;
}

Place SegmentLog::append(std::string_view payload) {
    if (committed_ >= options_.segment_bytes) roll();
    if (!file_ && pending_.empty()) {
        Header header;
        header.number = current_;
        if (!segments_.empty()) {
            header.previous = segments_.back().number;
            header.previous_bytes = segments_.back().bytes;
        }
        header.checksum = checksum_of(header);
        pending_.append(reinterpret_cast<const char*>(&header), sizeof header);
    }
    const std::uint64_t at = committed_ + pending_.size();
    RecordHead head;
    head.size = static_cast<std::uint32_t>(payload.size());
    head.committed = static_cast<std::uint32_t>(committed_);
    head.checksum = checksum_of(payload, current_, at);
    pending_.append(reinterpret_cast<const char*>(&head), sizeof head);
    pending_.append(payload);
    return {current_, static_cast<std::uint32_t>(at + sizeof head), head.size};
}

DiskResult<void> SegmentLog::commit() {
    if (pending_.empty()) return boost::outcome_v2::success();
    auto written = write_pending();
    if (!written) {
        abandon();
        return written;
    }
    if (segments_.empty() || segments_.back().number != current_) segments_.push_back({current_, 0});
    committed_ += pending_.size();
    bytes_ += pending_.size();
    appended_ += pending_.size();
    segments_.back().bytes = committed_;
    pending_.clear();
    if (pending_.capacity() > options_.segment_bytes) pending_.shrink_to_fit();
    return written;
}

DiskResult<void> SegmentLog::write_pending() {
    const bool made = !file_;
    if (made) {
        auto file = folder_.open(name_of(current_), Folder::Open::create);
        if (!file) return file.error();
        file_ = std::move(file.value());
    }
    if (auto written = file_->write(committed_, pending_); !written) return written;
    if (auto synced = file_->sync(); !synced) return synced;
    if (made) return folder_.sync();
    return boost::outcome_v2::success();
}

void SegmentLog::abandon() {
    pending_.clear();
    const bool kept = !segments_.empty() && segments_.back().number == current_;
    // Best effort: the next segment's header says what counts, whether these succeed or not.
    if (kept && file_) static_cast<void>(file_->truncate(committed_));
    if (!kept) static_cast<void>(folder_.remove(name_of(current_)));
    file_.reset();
    reading_.reset();
    ++current_;
    committed_ = 0;
}

DiskResult<std::string> SegmentLog::read(const Place& place) {
    File* file = file_.get();
    if (place.segment != current_ || !file) {
        if (!reading_ || reading_number_ != place.segment) {
            auto opened = folder_.open(name_of(place.segment), Folder::Open::existing);
            if (!opened) return opened.error();
            reading_ = std::move(opened.value());
            reading_number_ = place.segment;
        }
        file = reading_.get();
    }
    auto bytes = file->read(place.offset - sizeof(RecordHead), sizeof(RecordHead) + place.size);
    if (!bytes) return bytes.error();
    RecordHead head;
    if (bytes.value().size() == sizeof head + place.size) {
        std::memcpy(&head, bytes.value().data(), sizeof head);
        bytes.value().erase(0, sizeof head);
        if (head.checksum == checksum_of(bytes.value(), place.segment, place.offset - sizeof head))
            return std::move(bytes.value());
    }
    return DiskError{DiskFault::io,
                     "a record of " + name_of(place.segment) +
                         " has changed since it was written: check the disk, or empty its folder"};
}

DiskResult<void> SegmentLog::remove_oldest() {
    if (segments_.empty() || segments_.front().number == current_) return boost::outcome_v2::success();
    const Segment oldest = segments_.front();
    if (reading_ && reading_number_ == oldest.number) reading_.reset();
    if (auto removed = folder_.remove(name_of(oldest.number)); !removed) return removed;
    if (auto synced = folder_.sync(); !synced) return synced;
    bytes_ -= oldest.bytes;
    segments_.pop_front();
    std::erase_if(unchecked_, [&](const Unchecked& part) { return part.segment == oldest.number; });
    return boost::outcome_v2::success();
}

}  // namespace whinledge::storage_plane
