// A storage cluster with edges, for single hard cases: turns that end and begin, and machines at hand.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "storage_cluster.hpp"

namespace whinledge::storage_plane::test {

inline constexpr int kKeepForS = 60;
inline constexpr double kTurnMs = 3000;

class HardCase {
public:
    explicit HardCase(std::uint64_t seed, ClusterOptions options = {})
        : cluster(seed, options), options_(options) {
        cluster.on_map = [this](const wire::StorageMap& map) {
            for (const auto& edge : edges_)
                cluster.time.after(cluster.between(5, map_delay_ms), [edge, map] { edge->set_map(map); });
        };
    }

    void found() {
        cluster.found();
        cluster.time.run_until(800);
    }
    ClusterEdge& edge(const std::string& zone) { return edge(ClusterEdge::options(zone, options_.survive)); }
    ClusterEdge& edge(const TurnQuorumOptions& options) {
        edges_.push_back(std::make_shared<ClusterEdge>(cluster, 1, options));
        edges_.back()->set_map(cluster.map);
        return *edges_.back();
    }

    TurnEnd whole_turn(const std::string& id, const std::string& parent = "") {
        TurnEnd end;
        end.program = "p";
        end.turn = id;
        end.tokens = 10;
        end.whole = true;
        end.keep_for_s = kKeepForS;
        end.record.id = id;
        end.record.parent = parent;
        end.record.program = "p";
        end.record.input = "in " + id;
        end.record.output = "out " + id + "\n";
        end.record.keep_for_s = kKeepForS;
        return end;
    }
    std::shared_ptr<std::optional<bool>> ends(ClusterEdge& edge, const TurnEnd& turn) {
        auto durable = std::make_shared<std::optional<bool>>();
        edge.end(turn, kTurnMs, [durable](bool well) { *durable = well; });
        return durable;
    }
    bool ended(ClusterEdge& edge, const TurnEnd& turn) {
        const auto durable = ends(edge, turn);
        run(kTurnMs + 200);
        return durable->value_or(false);
    }

    TurnStart start(const std::string& id, const std::string& previous, std::int64_t budget = 0,
                    std::int64_t most = 0) {
        TurnStart start;
        start.program = "p";
        start.turn = id;
        start.previous = previous;
        start.budget = budget;
        start.most = most;
        start.keep_for_s = kKeepForS;
        return start;
    }
    std::shared_ptr<std::optional<BegunTurn>> begins(ClusterEdge& edge, const TurnStart& start) {
        auto begun = std::make_shared<std::optional<BegunTurn>>();
        edge.begin(start, kTurnMs, [begun](BegunTurn outcome) { *begun = std::move(outcome); });
        return begun;
    }
    BegunTurn begun(ClusterEdge& edge, const TurnStart& start) {
        const auto outcome = begins(edge, start);
        run(kTurnMs + 200);
        return outcome->value_or(BegunTurn());
    }

    void run(double ms) { cluster.time.run_until(cluster.time.now() + ms); }
    bool settles(double limit_ms = 20000) {
        const double until = cluster.time.now() + limit_ms;
        while (!cluster.settled() && cluster.time.now() < until) run(50);
        run(500);  // edges hear of the map
        return cluster.settled();
    }
    Machine& machine(std::size_t index) { return *cluster.machines[index]; }

    Cluster cluster;
    double map_delay_ms = 300;

private:
    ClusterOptions options_;
    std::vector<std::shared_ptr<ClusterEdge>> edges_;
};

}  // namespace whinledge::storage_plane::test
