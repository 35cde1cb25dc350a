// What every source keeps about its telling: the list held, and whether it is failing.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "engine/members.hpp"

namespace whinledge {

// Lists are whole here. Each call may end the source that makes it: nothing of it is touched after calling
// back.
class Teller {
public:
    explicit Teller(MemberSource::Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

    // Tells the list if it tells anything new: neither the order nor the version does.
    void tell(MemberList list) {
        std::sort(list.members.begin(), list.members.end(),
                  [](const Member& a, const Member& b) { return a.id < b.id; });
        list.full = true;
        if (held_ && held_->members == list.members) return;
        held_ = std::move(list);
        again();
    }
    // Tells the list held once more; nothing if there is none.
    void again() {
        if (held_ && callbacks_.changed) callbacks_.changed(*held_);
    }
    // The first of a stretch of failures is told.
    void fail(const std::string& why) {
        if (!std::exchange(failing_, true) && callbacks_.failed) callbacks_.failed(why);
    }
    void well() { failing_ = false; }
    bool failing() const { return failing_; }

private:
    MemberSource::Callbacks callbacks_;
    std::optional<MemberList> held_;
    bool failing_ = false;
};

}  // namespace whinledge
