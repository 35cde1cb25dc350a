// A storage member on a simulated disk, and the calls that its tests make.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "rpc/known_values.hpp"
#include "simulated_disk.hpp"
#include "storage_plane/storage_node.hpp"

namespace whinledge::storage_plane::test {

using Status = wire::StorageStatus;
using State = wire::StorageState;

template <class Number>
std::string named(const char* what, Number number) {
    return std::string(what).append(std::to_string(number));
}

class StorageNodeTest : public ::testing::Test {
protected:
    StorageNodeTest() { open(); }

    void open() {
        node_.reset();
        StorageNode::Options options;
        options.disk_bytes = disk_bytes_;
        options.most_items = most_items_;
        options.segment_bytes = 8U << 10;
        options.cache_bytes = 4096;
        options.repair_pace = repair_pace_;
        options.steady_ms = [this] { return now_ms_; };
        options.time_of_day_ms = [this] { return 1'800'000'000'000 + now_ms_ + clock_off_ms_; };
        options.draw = [this] { return static_cast<std::int64_t>(random_() >> 2 | 1); };
        options.commit_soon = [] {};
        auto node = StorageNode::open(disk_, options);
        ASSERT_TRUE(node);
        node_ = std::move(node.value());
    }

    wire::StorageMap map(std::int64_t epoch, State::type state) {
        wire::StorageMap map;
        map.epoch = epoch;
        for (std::int64_t identity : {node_->identity(), std::int64_t{2}, std::int64_t{3}}) {
            wire::StorageMember member;
            member.identity = identity;
            member.node = member.zone = member.address =
                std::string("n").append(std::to_string(map.members.size()));
            member.state = identity == node_->identity() ? state : State::member;
            map.members.push_back(member);
        }
        return map;
    }
    void found() { node_->set_map(map(1, State::member)); }

    wire::BeginTurnRequest begin_request(const std::string& program, const std::string& turn,
                                         std::int64_t reserve) {
        wire::BeginTurnRequest request;
        request.map_epoch = 1;
        request.identity = node_->identity();
        request.program = program;
        request.turn = turn;
        request.reserve = reserve;
        request.keep_for_s = 60;
        return request;
    }
    wire::BeginTurnReply begin(const std::string& program, const std::string& turn, std::int64_t reserve,
                               const std::string& previous = "", std::int64_t epoch = 1) {
        wire::BeginTurnRequest request = begin_request(program, turn, reserve);
        request.map_epoch = epoch;
        request.previous = previous;
        std::optional<wire::BeginTurnReply> reply;
        node_->begin(request, [&](const wire::BeginTurnReply& answered) { reply = answered; });
        if (!reply) node_->commit();
        EXPECT_TRUE(reply);
        return reply.value_or(wire::BeginTurnReply());
    }

    wire::EndTurnRequest end_request(const std::string& program, const std::string& turn,
                                     const std::string& parent, std::size_t bytes = 100) {
        wire::EndTurnRequest request;
        request.map_epoch = 1;
        request.identity = node_->identity();
        request.program = program;
        request.keep_for_s = 60;
        request.entry.turn = turn;
        request.entry.tokens = 7;
        request.entry.state = wire::EntryState::settled;
        wire::TurnRecord record;
        record.id = turn;
        record.parent = parent;
        record.program = program;
        record.input = "in of " + turn;
        record.output = std::string(bytes, 'o');
        record.keep_for_s = 60;
        record.holders = {node_->identity(), 2};
        request.__set_record(record);
        return request;
    }
    Status::type end(const wire::EndTurnRequest& request) {
        std::optional<Status::type> status;
        node_->end(request, [&](const wire::EndTurnReply& reply) {
            status = rpc::known_value<Status::type>(reply.status);
        });
        if (!status) node_->commit();
        EXPECT_TRUE(status);
        return status.value_or(Status::not_member);
    }
    Status::type end_at(const std::string& turn, std::int64_t epoch) {
        wire::EndTurnRequest request = end_request("p", turn, "");
        request.map_epoch = epoch;
        return end(request);
    }
    wire::ReadTurnsReply read(const std::string& id, std::int64_t epoch = 1) {
        wire::ReadTurnsRequest request;
        request.map_epoch = epoch;
        request.identity = node_->identity();
        request.id = id;
        wire::ReadTurnsReply reply;
        node_->read(request, [&](const wire::ReadTurnsReply& answered) { reply = answered; });
        return reply;
    }

    SimulatedDisk disk_;
    SimulatedDisk::Random random_{11};
    std::int64_t now_ms_ = 1000;
    std::int64_t clock_off_ms_ = 0;
    std::uint64_t disk_bytes_ = 1U << 20;
    std::size_t most_items_ = 400'000;
    RepairPace::Options repair_pace_;
    std::unique_ptr<StorageNode> node_;
};

}  // namespace whinledge::storage_plane::test
