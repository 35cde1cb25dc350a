// Which servers of a service take requests while versions change. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "rollout/record.hpp"

namespace whinledge::rollout {

enum class Arm {
    serving,    // takes the service's requests
    candidate,  // of the new version of an open rollout: takes a part of them
    none,       // takes nothing
};

// Servers of one service, by arm; the order of the list is kept.
struct VersionArms {
    std::vector<const wire::ListedServer*> serving, candidate;
};

// Follows one service: which versions it runs, as far as the list and the register tell.
class VersionPlan {
public:
    // `by_order`: a version that is new beside others takes nothing before a rollout names it.
    explicit VersionPlan(bool by_order) : by_order_(by_order) {}

    // Null: the service has had no rollout.
    void set_rollout(const wire::Rollout* rollout);
    const wire::Rollout* rollout() const { return known_ ? &rollout_ : nullptr; }

    // `listed`: all servers of the service.
    VersionArms arms(const std::vector<wire::ListedServer>& listed);

private:
    void establish(const std::vector<wire::ListedServer>& listed);
    Arm arm_of(servers_list::VersionId version) const;
    bool is_rejected(servers_list::VersionId version) const;

    bool by_order_;
    bool known_ = false;
    wire::Rollout rollout_;
    std::set<servers_list::VersionId> established_;  // that took requests before any rollout
};

// Which of the candidate's servers are on trial: `width` of them, from the one of rank `first` on. Ranks are
// the same in every process: zones take turns, and within a zone the order is a hash of the server's id.
std::vector<const wire::ListedServer*> on_trial(const std::vector<const wire::ListedServer*>& candidates,
                                                std::size_t first, std::size_t width);

}  // namespace whinledge::rollout
