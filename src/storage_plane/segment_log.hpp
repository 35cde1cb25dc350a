// An append-only log of checksummed records in segment files: buffered appends, made durable together by
// commit(), one sync for all of them. Whole segments are removed from the oldest end.
//
// A segment begins with a header that names the segment before it and how many of that one's bytes were
// committed; bytes behind those never count. In the newest segment everything up to the first record that is
// not whole counts (a torn tail is what a loss of power leaves), unless a whole record behind it says that
// the bytes there had been synced: then the disk is damaged. Damage within the last commit of all can't be
// told from a torn tail.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage_plane/files.hpp"

namespace whinledge::storage_plane {

// Where a record's bytes lie.
struct Place {
    std::uint64_t segment = 0;
    std::uint32_t offset = 0;
    std::uint32_t size = 0;
};

class SegmentLog {
public:
    struct Options {
        std::uint64_t segment_bytes = 4U << 20;
        std::uint64_t disk_bytes = 255'000'000;  // of all segments
    };
    struct Replay {
        std::uint64_t records = 0;
        std::uint64_t bytes = 0;
        std::uint64_t cut_bytes = 0;  // of a torn tail
        bool damaged = false;         // committed bytes can't be read: this disk has forgotten something
    };
    using Visit = std::function<void(const Place& place, std::string_view payload)>;
    // Everything up to `bytes` of this segment.
    struct Covered {
        std::uint64_t segment = 0;
        std::uint64_t bytes = 0;
    };
    // What is known without reading the log's beginning.
    struct Resume {
        Covered covered;
        // The log goes on from there; it begins with `first_segment`. False: it has to be read whole.
        std::function<bool(std::uint64_t first_segment)> accept;
        // It does not, or what lies behind is damaged: all will be visited, from the beginning.
        std::function<void()> give_up;
    };

    // Reads all there is, oldest first, and syncs what the process before may have left unsynced. With
    // `resume` the records of whole covered segments are not read: only that the segments are there, with
    // headers that name each other and all their bytes; the rest is left to scrub(). In the segment that is
    // covered in part all is read. Where anything of this fails, all is read.
    static DiskResult<std::unique_ptr<SegmentLog>> open(Folder& folder, Options options, const Visit& visit,
                                                        Replay& replay, const Resume* resume = nullptr);

    // Whether `bytes` more (payloads) fit into the part of the disk that is to be used.
    bool has_room(std::uint64_t bytes) const;
    // Not durable, and not to be read, before commit() succeeds.
    Place append(std::string_view payload);
    bool dirty() const { return !pending_.empty(); }
    // Writes and syncs all appended since the last commit. On failure these are dropped for good and their
    // places are void; the segment is left as it was at the last commit and the next append starts another: a
    // sync that has failed is never tried again.
    DiskResult<void> commit();

    DiskResult<std::string> read(const Place& place);

    // Of what open() has not read, oldest first.
    struct Scrubbed {
        std::uint64_t bytes = 0;
        bool damaged = false;  // a record there is not what was committed
    };
    // Reads about `most_bytes` of it, of one segment at the most; one record may be larger.
    DiskResult<Scrubbed> scrub(std::uint64_t most_bytes);
    std::uint64_t unchecked_bytes() const;
    bool is_unchecked(std::uint64_t segment) const;

    // Where the log ends; nothing may be pending. Segment 0: it is empty.
    Covered end() const;
    // Committed since open().
    std::uint64_t appended() const { return appended_; }

    struct Segment {
        std::uint64_t number = 0;
        std::uint64_t bytes = 0;  // committed
    };
    // Oldest first. The last may be the one that is written at present.
    const std::deque<Segment>& segments() const { return segments_; }
    std::uint64_t bytes() const { return bytes_; }
    // Of the segment that appends go to; the next commit may make it.
    std::uint64_t current() const { return current_; }
    // The oldest goes, unless it is the current one.
    DiskResult<void> remove_oldest();
    // Appends go to a new segment from here on.
    void roll();

private:
    struct Found {
        std::uint64_t number = 0;
        std::unique_ptr<File> file;
        std::uint64_t previous = 0;        // the segment before; 0: none
        std::uint64_t previous_bytes = 0;  // that count in it
    };

    SegmentLog(Folder& folder, Options options) : folder_(folder), options_(options) {}
    DiskResult<void> replay_all(const Visit& visit, Replay& replay, const Resume* resume);
    static DiskResult<bool> goes_on_from(const std::vector<Found>& chain, const Covered& covered);
    DiskResult<void> read_records(const std::vector<Found>& chain, const Covered& covered, const Visit& visit,
                                  Replay& replay);
    DiskResult<std::uint64_t> read_segment(const Found& segment, const Found* next, const Covered& covered,
                                           const Visit& visit, Replay& replay);
    DiskResult<std::vector<Found>> read_chain(const std::vector<std::uint64_t>& numbers, Replay& replay);
    DiskResult<void> write_pending();
    void abandon();

    Folder& folder_;
    Options options_;
    std::deque<Segment> segments_;
    std::uint64_t bytes_ = 0;
    std::uint64_t appended_ = 0;
    struct Unchecked {
        std::uint64_t segment = 0;
        std::uint64_t from = 0;
        std::uint64_t to = 0;
    };
    std::deque<Unchecked> unchecked_;
    std::uint64_t current_ = 1;
    std::unique_ptr<File> file_;   // of the current segment; null: not made yet
    std::uint64_t committed_ = 0;  // bytes of the current segment
    std::string pending_;          // behind them
    std::uint64_t reading_number_ = 0;
    std::unique_ptr<File> reading_;  // the segment read last
};

}  // namespace whinledge::storage_plane
