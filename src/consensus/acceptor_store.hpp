// An acceptor's disk: its identity, and its state as a log of records.
//
// A folder holds `identity` and one segment `register-N.log`. Each record in a segment is its length (4
// bytes), the xxHash64 of its bytes (8 bytes) and the Thrift structure; records are synced before append()
// returns.
// A segment that has grown is replaced by a new one that begins with the whole state. A torn tail, which
// nobody was told of, is cut.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "consensus/acceptor_log.hpp"

namespace whinledge::consensus {

class AcceptorStore : public AcceptorLog {
public:
    // Opens or begins the folder. Throws std::runtime_error where it can't be used.
    // `first_boot`: this is the first start of the whole system; only remembered with a new identity.
    AcceptorStore(std::string folder, bool first_boot);
    ~AcceptorStore() override;
    AcceptorStore(const AcceptorStore&) = delete;
    AcceptorStore& operator=(const AcceptorStore&) = delete;

    std::int64_t identity() const { return identity_; }
    // The disk was first used at the system's first boot.
    bool founder() const { return founder_; }
    // The state as the segment had it when the folder was opened.
    const Acceptor& opened() const { return opened_; }

    DiskResult<void> append(const AcceptorWrite& write) override;
    LogFigures figures() const override { return {syncs_, size_}; }

private:
    bool load_identity();
    void draw_identity(bool first_boot);
    void load_segment();
    std::string segment_path(std::uint64_t number) const;
    bool write_records(const std::string& bytes);
    bool begin_segment(const Acceptor& before, const std::string& bytes);
    DiskError failure(int fault) const;

    std::string folder_;
    std::int64_t identity_ = 0;
    bool founder_ = false;
    Acceptor opened_{0};
    int file_ = -1;
    std::uint64_t number_ = 0, size_ = 0, live_size_ = 0, syncs_ = 0;
    bool begin_anew_ = true;  // the segment's end is in doubt, or there is none yet
    bool failing_ = false;
};

}  // namespace whinledge::consensus
