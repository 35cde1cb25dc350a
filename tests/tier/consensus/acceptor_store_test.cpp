// An acceptor's folder: what was synced is there again, torn tails are cut, a wiped folder is another
// identity.
#include "consensus/acceptor_store.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>

#include "rig/disk_folder.hpp"

namespace whinledge::consensus {
namespace {

class AcceptorStoreTest : public testing::Test {
protected:
    std::unique_ptr<AcceptorStore> open(bool first_boot = false) {
        return std::make_unique<AcceptorStore>(folder_.string() + "/data", first_boot);
    }
    static wire::AcceptorRecord installed() {
        wire::ChosenValue value;
        value.epoch = 1;
        wire::AcceptorRecord record;
        record.__set_installed(value);
        return record;
    }
    static wire::AcceptorRecord accepted(std::int64_t round, const std::string& configuration) {
        wire::Ballot ballot;
        ballot.round = round;
        wire::Entry entry;
        entry.state.sequence = round;
        entry.state.configuration = configuration;
        wire::AcceptorRecord record;
        record.__set_promised(ballot);
        record.__set_accepted(ballot);
        record.__set_entry(entry);
        return record;
    }
    static bool write(AcceptorStore& store, Acceptor& state, const wire::AcceptorRecord& record) {
        if (!store.append({{record}, std::make_shared<const Acceptor>(state)})) return false;
        state.apply(record);
        return true;
    }
    std::filesystem::path segment() const {
        for (const auto& entry : std::filesystem::directory_iterator(folder_ / "data"))
            if (entry.path().extension() == ".log") return entry.path();
        return {};
    }
    std::size_t segments() const {
        std::size_t count = 0;
        for (const auto& entry : std::filesystem::directory_iterator(folder_ / "data"))
            count += entry.path().extension() == ".log" ? 1 : 0;
        return count;
    }

    test::DiskFolder disk_;
    std::filesystem::path folder_ = disk_.path();
};

TEST_F(AcceptorStoreTest, KeepsIdentityAndState) {
    auto store = open(true);
    const std::int64_t identity = store->identity();
    EXPECT_TRUE(store->founder());
    Acceptor state = store->opened();
    ASSERT_TRUE(write(*store, state, installed()));
    ASSERT_TRUE(write(*store, state, accepted(3, "three")));
    store = open(false);
    EXPECT_EQ(store->identity(), identity);
    EXPECT_TRUE(store->founder());
    EXPECT_EQ(store->opened().installed().epoch, 1);
    EXPECT_EQ(store->opened().accepted().round, 3);
    EXPECT_EQ(store->opened().entry().state.configuration, "three");
}

TEST_F(AcceptorStoreTest, CutsATornTailAtEachOfItsBytes) {
    auto store = open();
    Acceptor state = store->opened();
    ASSERT_TRUE(write(*store, state, installed()));
    ASSERT_TRUE(write(*store, state, accepted(1, "kept")));
    const auto whole = std::filesystem::file_size(segment());
    ASSERT_TRUE(write(*store, state, accepted(2, "torn")));
    const auto end = std::filesystem::file_size(segment());
    for (auto size = end - 1; size > whole; --size) {
        store.reset();
        std::filesystem::resize_file(segment(), size);
        store = open();
        ASSERT_EQ(store->opened().entry().state.configuration, "kept") << size;
        ASSERT_EQ(std::filesystem::file_size(segment()), whole);
        state = store->opened();
        ASSERT_TRUE(write(*store, state, accepted(2, "torn")));
    }
}

TEST_F(AcceptorStoreTest, CutsATailOfWrongBytes) {
    auto store = open();
    Acceptor state = store->opened();
    ASSERT_TRUE(write(*store, state, installed()));
    ASSERT_TRUE(write(*store, state, accepted(1, "kept")));
    ASSERT_TRUE(write(*store, state, accepted(2, "torn")));
    {
        std::fstream file(segment(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(-3, std::ios::end);
        file.put('?');
    }
    EXPECT_EQ(open()->opened().entry().state.configuration, "kept");
}

TEST_F(AcceptorStoreTest, AGrownSegmentIsReplaced) {
    auto store = open();
    Acceptor state = store->opened();
    ASSERT_TRUE(write(*store, state, installed()));
    const std::string large(100'000, 'c');
    for (std::int64_t round = 1; round <= 100; ++round)
        ASSERT_TRUE(write(*store, state, accepted(round, large)));
    EXPECT_LT(store->figures().bytes, 2U << 20);
    EXPECT_EQ(segments(), 1U);
    EXPECT_EQ(open()->opened().accepted().round, 100);
}

TEST_F(AcceptorStoreTest, ALeftOverOfAReplacementIsNoSegment) {
    auto store = open();
    Acceptor state = store->opened();
    ASSERT_TRUE(write(*store, state, installed()));
    ASSERT_TRUE(write(*store, state, accepted(1, "kept")));
    std::ofstream(folder_ / "data" / "register-9.log.new") << "half";
    EXPECT_EQ(open()->opened().entry().state.configuration, "kept");
    EXPECT_FALSE(std::filesystem::exists(folder_ / "data" / "register-9.log.new"));
}

TEST_F(AcceptorStoreTest, AWipedOrTornIdentityIsAnother) {
    auto store = open(true);
    const std::int64_t identity = store->identity();
    Acceptor state = store->opened();
    ASSERT_TRUE(write(*store, state, installed()));
    store.reset();
    std::filesystem::resize_file(folder_ / "data" / "identity", 5);
    store = open(false);
    EXPECT_NE(store->identity(), identity);
    EXPECT_FALSE(store->founder());
    EXPECT_EQ(store->opened().installed().epoch, 0);
}

TEST_F(AcceptorStoreTest, AFolderThatCannotBeUsedIsToldWithItsRemedy) {
    std::ofstream(folder_ / "data") << "a file";
    try {
        open();
        FAIL();
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("check that the data folder"), std::string::npos)
            << error.what();
    }
}

// A loss of power as one segment follows another may leave each name or not, once the newer one was synced
// under its own: whichever are left, the newest state is read, and what was half made is gone.
TEST_F(AcceptorStoreTest, ASegmentsChangeWhoseNamesAreKeptOrLostOneByOne) {
    for (const bool older_stays : {false, true})
        for (const bool half_made_stays : {false, true}) {
            const std::filesystem::path data = folder_ / "data";
            std::filesystem::remove_all(data);
            auto store = open(true);
            Acceptor state = store->opened();
            ASSERT_TRUE(write(*store, state, installed()));
            const std::filesystem::path first = segment(), kept = folder_ / "first";
            std::int64_t round = 0;
            while (segment() == first) {
                std::filesystem::copy_file(first, kept, std::filesystem::copy_options::overwrite_existing);
                ASSERT_TRUE(write(*store, state, accepted(++round, std::string(200'000, 'c'))));
            }
            const std::filesystem::path second = segment();
            store.reset();
            if (older_stays) std::filesystem::copy_file(kept, first);
            if (half_made_stays) std::ofstream(second.string() + ".new") << "half";
            store = open(false);
            EXPECT_EQ(store->opened().accepted().round, round) << older_stays << half_made_stays;
            EXPECT_EQ(segments(), 1U);
            EXPECT_FALSE(std::filesystem::exists(second.string() + ".new"));
        }
}

// How many by hand: REGISTER_CHANGES=100000.
std::int64_t changes() {
    const char* const more = std::getenv("REGISTER_CHANGES");
    return more != nullptr ? std::strtoll(more, nullptr, 10) : 1000;
}

// Change upon change, with a restart at every tenth part: the folder's size does not depend on how many there
// were.
TEST_F(AcceptorStoreTest, TheDiskHoldsAFewStatesHoweverManyChangesThereWere) {
    constexpr std::size_t kConfiguration = 20'000;
    constexpr std::uint64_t kMostBytes =
        2U << 20;  // of 128 MB that a deployment gives: a segment and its successor
    auto store = open(true);
    Acceptor state = store->opened();
    ASSERT_TRUE(write(*store, state, installed()));
    std::uint64_t most = 0;
    const std::int64_t count = changes();
    for (std::int64_t change = 1; change <= count; ++change) {
        ASSERT_TRUE(write(*store, state, accepted(change, std::string(kConfiguration, 'c'))));
        std::uint64_t bytes = 0;
        if (change % 10 == 0)
            for (const auto& entry : std::filesystem::directory_iterator(folder_ / "data"))
                bytes += entry.file_size();
        most = std::max(most, bytes);
        if (change % (count / 10) != 0) continue;
        store = open(false);
        ASSERT_EQ(store->opened().accepted().round, change);
        ASSERT_EQ(store->opened().entry(), state.entry());
        EXPECT_EQ(segments(), 1U);
    }
    std::printf("[ figures  ] %lld changes of %zu bytes: %llu bytes on the disk at most\n",
                static_cast<long long>(count), kConfiguration, static_cast<unsigned long long>(most));
    EXPECT_LE(most, kMostBytes);
}

}  // namespace
}  // namespace whinledge::consensus
