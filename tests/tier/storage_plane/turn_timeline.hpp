// Timelines of single turns as pictures: one column a process, time downwards. An edge in zone a; members A,
// B and C in zones a, b and c, 1 ms from it where the zone is the same and 3 ms otherwise, each way.
//
// Scripts, one order a line, each with its time in ms:
//     begin TURN budget N most N [after TURN]     end TURN [tokens N] whole|broken|unrun
//     NODE down|up|unfilled|slow MS               NODE holds TURN [after TURN]
//     NODE counts TURN reserved|settled|cancelled N
//     map NODE[:joining|:retiring] ...            (the next epoch; edge and members learn of it at once)
//     members NODE ...                            (these alone learn of the newest map's successor)
#pragma once

#include <gtest/gtest.h>

#include <cmath>
#include <iomanip>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "turn_tier_model.hpp"

namespace whinledge::storage_plane::model {

inline constexpr std::size_t kColumn = 24;

class Picture {
public:
    void mark(double ms, const std::string& process, const std::string& event) {
        marks_.push_back({std::lround(ms), process, event});
    }

    std::string drawn(const std::vector<std::string>& processes) const {
        std::vector<std::vector<std::string>> rows;
        std::vector<long> times;
        for (const Mark& mark : marks_) {
            const std::size_t column = static_cast<std::size_t>(
                std::find(processes.begin(), processes.end(), mark.process) - processes.begin());
            if (rows.empty() || times.back() != mark.ms || !is_free(rows.back(), column)) {
                rows.emplace_back(processes.size());
                times.push_back(mark.ms);
            }
            rows.back()[column] = mark.event;
        }
        std::ostringstream text;
        text << "\n  ms";
        std::string line;
        for (const std::string& process : processes) line += "  " + padded(process);
        text << trimmed(line) << '\n';
        for (std::size_t row = 0; row < rows.size(); ++row) {
            line.clear();
            for (const std::string& cell : rows[row]) line += "  " + padded(cell);
            text << std::setw(4) << times[row] << trimmed(line) << '\n';
        }
        return text.str();
    }

private:
    struct Mark {
        long ms;
        std::string process, event;
    };
    // Later columns of a row stay as they are: marks are drawn in the order in which they came.
    static bool is_free(const std::vector<std::string>& row, std::size_t column) {
        for (std::size_t i = column; i < row.size(); ++i)
            if (!row[i].empty()) return false;
        return true;
    }
    static std::string padded(const std::string& text) {
        return text + std::string(text.size() < kColumn ? kColumn - text.size() : 0, ' ');
    }
    static std::string trimmed(std::string text) {
        text.erase(text.find_last_not_of(' ') + 1);
        return text;
    }
    std::vector<Mark> marks_;
};

class Stage {
public:
    explicit Stage(int machine_losses = 1) {
        for (const char* node : {"A", "B", "C"}) {
            auto member = std::make_shared<Member>();
            member->identity = node[0];
            member->node = node;
            member->zone = std::string(1, static_cast<char>(node[0] - 'A' + 'a'));
            network_.members[node] = member;
        }
        network_.route = [this](const std::string&, const std::string& to) {
            Route route;
            route.there_ms = (to == "A" ? 1 : 3) + slow_[to];
            route.back_ms = to == "A" ? 1 : 3;
            return route;
        };
        network_.on_request = [this](const std::string&, Member& to, const TurnSend& send) {
            picture_.mark(time_.now(), to.node,
                          std::visit([](const auto& request) { return name(request); }, send.request));
        };
        TurnQuorumOptions options;
        options.zone = "a";
        options.survive.machines = machine_losses;
        edge_ = std::make_shared<Edge>(time_, network_, "edge", options);
        publish(next_map({"A", "B", "C"}));
    }

    std::string play(const std::string& script, double until_ms = 10000) {
        std::istringstream lines(script);
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            double at_ms = 0;
            if (!(words >> at_ms)) continue;
            std::vector<std::string> order;
            for (std::string word; words >> word;) order.push_back(word);
            time_.at(at_ms, [this, order] { obey(order); });
        }
        time_.run_until(until_ms);
        EXPECT_EQ(edge_->repeated_outcomes, 0u);
        return picture_.drawn({"edge", "A", "B", "C"});
    }

    Member& member(const std::string& node) { return *network_.members.at(node); }

private:
    static std::string name(const wire::BeginTurnRequest& request) {
        std::string text = std::string("reserve ").append(std::to_string(request.reserve));
        if (!request.previous.empty()) text += ", read " + request.previous;
        return text;
    }
    static std::string name(const wire::ReadTurnsRequest& request) { return "read " + request.id; }
    static std::string name(const wire::EndTurnRequest& request) {
        std::string text;
        if (request.__isset.record) {
            text = "copy " + request.record.id + " (";
            for (const std::int64_t holder : request.record.holders) text += static_cast<char>(holder);
            text += ")";
        }
        if (request.entry.turn.empty()) return text;
        if (!text.empty()) text += ", ";
        if (request.entry.state == wire::EntryState::cancelled) return text + "cancel " + request.entry.turn;
        return text + "settle " + std::to_string(request.entry.tokens);
    }
    static std::string name(BeginStatus status) {
        switch (status) {
            case BeginStatus::ok:
                return "ok";
            case BeginStatus::budget_spent:
                return "402";
            case BeginStatus::no_such_turn:
                return "404";
            case BeginStatus::unavailable:
                return "503";
        }
        return "?";
    }

    static std::string word_after(const std::vector<std::string>& order, const std::string& word) {
        const auto found = std::find(order.begin(), order.end(), word);
        return found == order.end() || found + 1 == order.end() ? "" : *(found + 1);
    }
    static std::int64_t number_after(const std::vector<std::string>& order, const std::string& word) {
        const std::string text = word_after(order, word);
        return text.empty() ? 0 : std::stoll(text);
    }

    void obey(const std::vector<std::string>& order) {
        if (order[0] == "begin") return begin(order);
        if (order[0] == "end") return end(order);
        if (order[0] == "map") return publish(next_map({order.begin() + 1, order.end()}));
        if (order[0] == "members") return newer_at_members({order.begin() + 1, order.end()});
        Member& node = member(order[0]);
        if (order[1] == "down") node.up = false;
        if (order[1] == "up") node.up = true;
        if (order[1] == "unfilled") node.filled = false;
        if (order[1] == "slow") slow_[order[0]] = std::stod(order[2]);
        if (order[1] == "holds") node.records[order[2]] = record(order[2], word_after(order, "after"));
        if (order[1] == "counts") {
            wire::LedgerEntry entry;
            entry.turn = order[2];
            entry.state = order[3] == "reserved"  ? wire::EntryState::reserved
                          : order[3] == "settled" ? wire::EntryState::settled
                                                  : wire::EntryState::cancelled;
            entry.tokens = std::stoll(order[4]);
            merge_entry(node.ledgers["program"], entry);
        }
        if (order[1] == "down" || order[1] == "up") picture_.mark(time_.now(), order[0], order[1]);
    }

    static wire::TurnRecord record(const std::string& id, const std::string& parent) {
        wire::TurnRecord record;
        record.id = id;
        record.parent = parent;
        record.program = "program";
        record.input = "in " + id;
        record.output = "out " + id;
        return record;
    }

    void begin(const std::vector<std::string>& order) {
        TurnStart start;
        start.program = "program";
        start.turn = order[1];
        start.previous = word_after(order, "after");
        start.budget = number_after(order, "budget");
        start.most = number_after(order, "most");
        picture_.mark(time_.now(), "edge", "begin " + start.turn);
        edge_->begin(start, 2000, [this, turn = start.turn](const BegunTurn& begun) {
            std::string text = turn + ": " + name(begun.status);
            for (const wire::TurnRecord& earlier : begun.chain) text += " " + earlier.id;
            picture_.mark(time_.now(), "edge", text);
        });
    }

    void end(const std::vector<std::string>& order) {
        TurnEnd end;
        end.program = "program";
        end.turn = order[1];
        end.tokens = number_after(order, "tokens");
        end.never_ran = order.back() == "unrun";
        end.whole = order.back() == "whole";
        if (end.whole) end.record = record(end.turn, word_after(order, "after"));
        picture_.mark(time_.now(), "edge", "end " + end.turn);
        edge_->end(end, 2000, [this, turn = end.turn](bool durable) {
            picture_.mark(time_.now(), "edge", turn + (durable ? ": durable" : ": not durable"));
        });
    }

    wire::StorageMap next_map(const std::vector<std::string>& nodes) {
        ++map_.epoch;
        map_.members.clear();
        for (const std::string& word : nodes) {
            const std::string node = word.substr(0, 1), state = word.size() > 2 ? word.substr(2) : "";
            map_.members.push_back(member(node).described(state == "joining" ? wire::StorageState::joining
                                                          : state == "retiring"
                                                              ? wire::StorageState::retiring
                                                              : wire::StorageState::member));
        }
        return map_;
    }
    void publish(const wire::StorageMap& map) {
        for (auto& [node, member] : network_.members) member->map = map;
        edge_->set_map(map);
    }
    void newer_at_members(const std::vector<std::string>& nodes) {
        for (const std::string& node : nodes) {
            member(node).map = map_;
            ++member(node).map.epoch;
        }
    }

    Timeline time_;
    Network network_{time_};
    Picture picture_;
    wire::StorageMap map_;
    std::map<std::string, double> slow_;
    std::shared_ptr<Edge> edge_;
};

inline constexpr char kColumns[] = R"(
  ms  edge                      A                         B                         C)";

// `picture` without the line that names the columns, which is the same in all.
inline void expect(const std::string& script, const std::string& picture) {
    EXPECT_EQ(Stage().play(script), kColumns + picture);
}

// The same where both begin with the turn that most begin with, and which nothing troubles.
inline void expect_after_begin(const std::string& script, const std::string& picture) {
    expect("0 begin t1 budget 100 most 60" + script, R"(
   0  begin t1
   1                            reserve 60
   3                                                      reserve 60                reserve 60
   6  t1: ok)" + picture);
}

}  // namespace whinledge::storage_plane::model
