// What a storage member costs at the bounds of its disk and memory: bytes and syncs of a turn, memory of a
// kept turn, the time to start from a full disk, to compare and to repair it, and to refuse when it is full.
// Times are processor time of this process (ms); the disk's own are left out, as this machine's page cache is
// not a member's disk.
#include <docopt/docopt.h>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>

#include "rpc/codec.hpp"
#include "storage_plane/repair.hpp"
#include "storage_plane/storage_node.hpp"

namespace {

using namespace whinledge::storage_plane;
namespace wire = whinledge::wire;
namespace rpc = whinledge::rpc;

constexpr char kUsage[] = R"(Measures a storage member at the bounds of its disk and memory.

Usage: storage_bench FOLDER [--disk-mb N] [--memory-mb N] [--turn-bytes N] [--turns-a-program N] [--group N]
                     [--snapshots] [--snapshot-mb N] [--members N] [--ledger-group N]

Options:
  --disk-mb N          limits.diskMb of the member [default: 300]
  --memory-mb N        limits.memoryMb of the member [default: 260]
  --turn-bytes N       of input and output together [default: 6000]
  --turns-a-program N  turns that share a ledger [default: 6]
  --group N            turns that end in one turn of the loop [default: 8]
  --snapshots          a start by a snapshot of the index as well
  --snapshot-mb N      that one may have; 0: as in service [default: 0]
  --members N          of the map by which it compares what it holds with another's [default: 2]
  --ledger-group N     members that keep a program's ledger; 0: all [default: 0]
)";

struct Shape {
    std::string folder;
    std::uint64_t disk_mb = 300, memory_mb = 260;
    std::size_t turn_bytes = 6000, turns_a_program = 6, group = 8;
    std::uint64_t snapshot_mb = 0;  // 0: as in service
    std::size_t members = 2;        // of the map that comparisons go by
    std::size_t ledger_group = 0;   // 0: all members keep all ledgers
};

double processor_ms() {
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto ms = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_usec) / 1e3;
    };
    return ms(used.ru_utime) + ms(used.ru_stime);
}

double resident_mb() {
    long pages = 0, resident = 0;
    std::FILE* file = std::fopen("/proc/self/statm", "r");
    if (file && std::fscanf(file, "%ld %ld", &pages, &resident) != 2) resident = 0;
    if (file) std::fclose(file);
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

void print(const char* what, double value, const char* unit) {
    std::printf("%-46s %12.2f %s\n", what, value, unit);
    std::fflush(stdout);
}

// Counts syncs on their way to a real folder.
class CountedFolder : public Folder {
public:
    explicit CountedFolder(const std::string& path) {
        auto opened = open_folder(path);
        if (!opened) throw std::runtime_error(opened.error().message);
        folder_ = std::move(opened.value());
    }
    std::uint64_t syncs = 0;

    whinledge::DiskResult<std::vector<std::string>> list() override { return folder_->list(); }
    whinledge::DiskResult<std::unique_ptr<File>> open(const std::string& name, Open how) override {
        auto file = folder_->open(name, how);
        if (!file) return file.error();
        return std::unique_ptr<File>(std::make_unique<CountedFile>(*this, std::move(file.value())));
    }
    whinledge::DiskResult<void> rename(const std::string& from, const std::string& to) override {
        return folder_->rename(from, to);
    }
    whinledge::DiskResult<void> remove(const std::string& name) override { return folder_->remove(name); }
    whinledge::DiskResult<void> sync() override {
        ++syncs;
        return boost::outcome_v2::success();
    }

private:
    class CountedFile : public File {
    public:
        CountedFile(CountedFolder& folder, std::unique_ptr<File> file)
            : folder_(folder), file_(std::move(file)) {}
        whinledge::DiskResult<std::string> read(std::uint64_t offset, std::size_t size) override {
            return file_->read(offset, size);
        }
        whinledge::DiskResult<void> write(std::uint64_t offset, std::string_view bytes) override {
            return file_->write(offset, bytes);
        }
        whinledge::DiskResult<void> truncate(std::uint64_t size) override { return file_->truncate(size); }
        whinledge::DiskResult<std::uint64_t> size() override { return file_->size(); }
        whinledge::DiskResult<void> sync() override {
            ++folder_.syncs;
            return boost::outcome_v2::success();
        }

    private:
        CountedFolder& folder_;
        std::unique_ptr<File> file_;
    };

    std::unique_ptr<Folder> folder_;
};

std::int64_t now_ms = 1'000'000;

struct Member {
    Member(const Shape& shape, const std::string& name, bool snapshots = false)
        : folder(shape.folder + "/" + name) {
        StorageNode::Options options = member_options(shape.disk_mb, shape.memory_mb);
        options.snapshots.on = snapshots;
        if (shape.snapshot_mb > 0) options.snapshots.most_bytes = shape.snapshot_mb * 1'000'000;
        options.steady_ms = [] { return now_ms; };
        options.time_of_day_ms = [] { return 1'800'000'000'000 + now_ms; };
        options.draw = [] {
            static std::int64_t drawn = 100;
            return ++drawn;
        };
        options.commit_soon = [] {};
        auto opened = StorageNode::open(folder, options);
        if (!opened) throw std::runtime_error(opened.error().message);
        node = std::move(opened.value());
    }
    CountedFolder folder;
    std::unique_ptr<StorageNode> node;
};

wire::StorageMap map_of(std::int64_t epoch, const std::vector<std::int64_t>& identities) {
    wire::StorageMap map;
    map.epoch = epoch;
    for (const std::int64_t identity : identities) {
        wire::StorageMember member;
        member.identity = identity;
        member.node = member.zone = member.address = std::to_string(identity);
        member.state = wire::StorageState::member;
        map.members.push_back(member);
    }
    return map;
}

std::string turn_id(std::uint64_t number) {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15ULL));
    return id;
}

wire::EndTurnRequest ended_turn(const Shape& shape, std::size_t number, std::int64_t identity,
                                const std::vector<std::int64_t>& holders) {
    const std::string id = turn_id(number);
    char program[9];
    std::snprintf(program, sizeof program, "%08zx", number / shape.turns_a_program);
    wire::EndTurnRequest request;
    request.map_epoch = 1;
    request.identity = identity;
    request.program = program;
    request.keep_for_s = 60;
    request.entry.turn = id;
    request.entry.tokens = 34;
    request.entry.state = wire::EntryState::settled;
    request.record.id = id;
    if (number % shape.turns_a_program != 0) request.record.parent = turn_id(number - 1);
    request.record.program = program;
    request.record.input = std::string(shape.turn_bytes * 4 / 5, 'i');
    request.record.output = std::string(shape.turn_bytes / 5, 'o');
    request.record.ended_ms = 1'800'000'000'000 + now_ms;
    request.record.keep_for_s = 60;
    request.record.holders = holders;
    request.__isset.record = true;
    return request;
}

// Ends turns until the member refuses one. Returns how many it took.
std::size_t fill(const Shape& shape, Member& member, const std::vector<std::int64_t>& holders) {
    std::size_t taken = 0;
    bool full = false;
    for (std::size_t number = 1; !full; ++number) {
        member.node->end(ended_turn(shape, number, member.node->identity(), holders),
                         [&](const wire::EndTurnReply& reply) {
                             if (reply.status == wire::StorageStatus::ok)
                                 ++taken;
                             else
                                 full = true;
                         });
        if (number % shape.group == 0) member.node->commit();
    }
    member.node->commit();
    return taken;
}

// Members in this process, over the encoding that the network carries.
class LocalPeers : public PeerCalls {
public:
    std::map<std::string, Member*> members;
    std::uint64_t bytes = 0;

    void changes(const std::string& address, const wire::ChangesRequest& request,
                 Done<wire::ChangesReply> done) override {
        ask(address, &StorageNode::changes, request, std::move(done));
    }
    void fetch(const std::string& address, const wire::FetchRequest& request,
               Done<wire::FetchReply> done) override {
        ask(address, &StorageNode::fetch, request, std::move(done));
    }
    void digests(const std::string& address, const wire::DigestRequest& request,
                 Done<wire::DigestReply> done) override {
        ask(address, &StorageNode::digests, request, std::move(done));
    }
    void store(const std::string& address, const wire::StoreRequest& request,
               Done<wire::StoreReply> done) override {
        ask(address, &StorageNode::store, request, std::move(done));
    }

    // Replies that have come; false: none.
    bool deliver() {
        if (waiting_.empty()) return false;
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        next();
        return true;
    }

private:
    template <class Request, class Reply>
    void ask(const std::string& address,
             void (StorageNode::*handler)(const Request&, StorageNode::Done<Reply>), const Request& request,
             Done<Reply> done) {
        StorageNode& node = *members.at(address)->node;
        waiting_.push_back([this, &node, handler, request, done] {
            (node.*handler)(request, [this, done](const Reply& reply) {
                const std::string body = rpc::encode_body(reply);
                bytes += body.size();
                auto decoded = rpc::decode_body<Reply>(body);
                waiting_.push_back([done, decoded] { done(decoded.value()); });
            });
        });
    }

    std::deque<std::function<void()>> waiting_;
};

void measure_filling(const Shape& shape, Member& member, std::size_t& turns) {
    member.node->set_map(map_of(1, {member.node->identity(), 1, 2, 3}));
    member.node->commit();
    const double before_ms = processor_ms(), before_mb = resident_mb();
    const std::uint64_t syncs = member.folder.syncs;
    turns = fill(shape, member, {member.node->identity(), 1});
    const double count = static_cast<double>(turns);
    print("turns until it refused", count, "");
    print("processor time of one ended turn", (processor_ms() - before_ms) / count * 1e3, "us");
    print("disk bytes of one turn", static_cast<double>(member.node->disk_bytes()) / count, "bytes");
    print("syncs of one turn", static_cast<double>(member.folder.syncs - syncs) / count, "");
    print("resident memory when full", resident_mb(), "MB");
    print("memory of one kept turn, cache left out",
          (resident_mb() - before_mb - static_cast<double>(member.node->index().cached_bytes()) / 1e6) * 1e6 /
              count,
          "bytes");
    const double refusing_ms = processor_ms();
    constexpr int kRefusals = 1000;
    for (int i = 0; i < kRefusals; ++i) {
        now_ms += 1;
        member.node->end(ended_turn(shape, turns + 100 + static_cast<std::size_t>(i), member.node->identity(),
                                    {member.node->identity(), 1}),
                         [](const wire::EndTurnReply&) {});
        member.node->commit();
    }
    print("processor time of one refusal when full", (processor_ms() - refusing_ms) / kRefusals * 1e3, "us");
    double ticking_ms = processor_ms();
    member.node->tick();
    print("processor time of a tick when full", processor_ms() - ticking_ms, "ms");
}

constexpr std::int64_t kZonesOfManyMembers = 7;

// A map of that size with the member in it and those that hold its turns, so that it compares as it would in
// such a deployment.
wire::StorageMap map_of_many(const Shape& shape, const StorageNode& node) {
    std::vector<std::int64_t> identities = {node.identity()};
    for (std::size_t i = 1; i < shape.members; ++i) identities.push_back(static_cast<std::int64_t>(i));
    wire::StorageMap map = map_of(2, identities);
    map.ledger_group = static_cast<std::int32_t>(shape.ledger_group);
    for (wire::StorageMember& member : map.members)
        member.zone = std::to_string(member.identity % kZonesOfManyMembers);
    return map;
}

void measure_comparison(const Shape& shape, Member& member) {
    if (shape.members > 2) member.node->set_map(map_of_many(shape, *member.node));
    now_ms += 20000;  // all is settled
    for (const char* which :
         {"processor time of a first comparison when full", "of the next, with another"}) {
        static std::int64_t other = 0;
        const double comparing_ms = processor_ms();
        static_cast<void>(member.node->shared_digests(++other, 256));
        print(which, processor_ms() - comparing_ms, "ms");
    }
    print("programs held", static_cast<double>(member.node->index().programs().size()), "");
}

void measure_start(const Shape& shape, std::unique_ptr<Member>& member) {
    member.reset();
    ::malloc_trim(0);
    const double before_ms = processor_ms(), before_mb = resident_mb();
    member = std::make_unique<Member>(shape, "first");
    print("processor time of a start from a full disk", processor_ms() - before_ms, "ms");
    print("bytes read at the start", static_cast<double>(member->node->replayed().bytes) / 1e6, "MB");
    print("resident memory after the start", resident_mb() - before_mb, "MB");
}

// The same with a snapshot of the index: what it costs to write, and what a start by it saves.
void measure_snapshot(const Shape& shape, std::unique_ptr<Member>& member) {
    member.reset();
    member = std::make_unique<Member>(shape, "first", true);
    const double before_ms = processor_ms();
    double longest_ms = 0;
    constexpr int kMostPieces = 1000;
    for (int i = 0; i < kMostPieces &&
                    member->node->counters().find(" snapshots=0 snapshots_given_up=0") != std::string::npos;
         ++i) {
        const double piece_ms = processor_ms();
        member->node->tick();
        member->node->commit();
        longest_ms = std::max(longest_ms, processor_ms() - piece_ms);
    }
    print("processor time of one snapshot, its ticks", processor_ms() - before_ms, "ms");
    print("processor time of its longest tick", longest_ms, "ms");
    member.reset();
    ::malloc_trim(0);
    const double starting_ms = processor_ms();
    member = std::make_unique<Member>(shape, "first", true);
    print("processor time of a start by a snapshot", processor_ms() - starting_ms, "ms");
    print("by a snapshot", member->node->started().by_snapshot ? 1 : 0, "");
    print("bytes of the log read at that start", static_cast<double>(member->node->replayed().bytes) / 1e6,
          "MB");
    std::cout << member->node->counters() << "\n";
}

// All that the first holds is pulled by a member whose disk is new.
void measure_repair(const Shape& shape, Member& first) {
    Member joining(shape, "second");
    const wire::StorageMap map = map_of(2, {first.node->identity(), joining.node->identity()});
    first.node->set_map(map);
    joining.node->set_map(map);
    first.node->commit();
    joining.node->commit();
    LocalPeers peers;
    peers.members = {{std::to_string(first.node->identity()), &first},
                     {std::to_string(joining.node->identity()), &joining}};
    Repair repair(*joining.node, peers, {});
    const double before_ms = processor_ms();
    const std::uint64_t syncs = joining.folder.syncs;
    repair.step(now_ms);
    while (!joining.node->filled()) {
        if (!peers.deliver()) {
            if (!joining.node->needs_commit()) {
                now_ms += 100;
                repair.step(now_ms);
            }
            joining.node->commit();
            first.node->commit();
        }
        if (processor_ms() - before_ms > 120'000) break;
    }
    print("repair of a full disk, both sides", processor_ms() - before_ms, "ms");
    print("bytes moved by repair", static_cast<double>(peers.bytes) / 1e6, "MB");
    print("turns pulled by repair", static_cast<double>(joining.node->index().turns().size()), "");
    print("syncs of the repaired", static_cast<double>(joining.folder.syncs - syncs), "");
}

}  // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
    const auto number = [&](const char* name) {
        return static_cast<std::size_t>(arguments.at(name).asLong());
    };
    Shape shape;
    shape.folder = arguments.at("FOLDER").asString();
    shape.disk_mb = number("--disk-mb");
    shape.memory_mb = number("--memory-mb");
    shape.turn_bytes = number("--turn-bytes");
    shape.turns_a_program = number("--turns-a-program");
    shape.group = number("--group");
    shape.snapshot_mb = number("--snapshot-mb");
    shape.members = number("--members");
    shape.ledger_group = number("--ledger-group");
    std::filesystem::create_directories(shape.folder);
    auto member = std::make_unique<Member>(shape, "first");
    if (!member->node->index().turns().empty()) {
        std::cerr << "the folder " << shape.folder << " holds turns already: name an empty one\n";
        return 2;
    }
    std::size_t turns = 0;
    measure_filling(shape, *member, turns);
    measure_comparison(shape, *member);
    measure_start(shape, member);
    if (arguments.at("--snapshots").asBool()) measure_snapshot(shape, member);
    measure_repair(shape, *member);
    return 0;
}
