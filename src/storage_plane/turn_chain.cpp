#include "storage_plane/turn_chain.hpp"

#include <algorithm>
#include <memory>

namespace whinledge::storage_plane {
namespace {

constexpr std::size_t kLongestChain = 10000;  // turns; beyond it records are taken to be wrong

}  // namespace

ChainSearch::Found ChainSearch::find() {
    Found found;
    std::string next = previous_;
    while (!next.empty()) {
        SharedRecord record = known(next);
        if (!record) {
            found.missing = next;
            return found;
        }
        if (found.records.size() >= kLongestChain) {
            found.broken = true;
            return found;
        }
        next = record->parent;
        found.records.push_back(std::move(record));
    }
    found.complete = true;
    return found;
}

SharedRecord ChainSearch::known(const std::string& id) {
    const auto found = learned_.find(id);
    if (found != learned_.end()) return found->second;
    SharedRecord record = cache_.find(id);
    if (record) learned_.emplace(id, record);
    return record;
}

ChainSearch::Verdict ChainSearch::verdict(const Members& members) {
    if (here_) return Verdict::here;
    const Found found = find();
    if (found.broken) return Verdict::broken;
    here_ = found.complete;
    if (found.complete) return Verdict::here;
    missing_ = found.missing;
    // Every voter has to say so. All but as many as may be lost would do while each record has all its
    // copies, but a holder that was replaced leaves fewer until they are repaired, and a false 404 is worse
    // than many a 503.
    const bool denied_by_all = std::all_of(members.voters.begin(), members.voters.end(),
                                           [this](std::int64_t voter) { return is_denied_by(voter); });
    if (members.voters.empty() || !denied_by_all) return Verdict::undecided;
    const std::set<std::int64_t>& answered = answered_[missing_];
    if (!std::includes(answered.begin(), answered.end(), members.joining.begin(), members.joining.end()))
        return Verdict::undecided;
    if (!members.away.empty()) return Verdict::unsure;
    // Its child is there, so it was: this is loss or expiry, and no reason to deny the turn.
    return missing_ == previous_ ? Verdict::absent : Verdict::broken;
}

void ChainSearch::learn(const std::vector<wire::TurnRecord>& chain) {
    for (const wire::TurnRecord& record : chain) {
        if (record.id.empty() || learned_.count(record.id)) continue;
        auto shared = std::make_shared<const wire::TurnRecord>(record);
        learned_.emplace(record.id, shared);
        cache_.insert(shared);
    }
}

bool ChainSearch::learn_end(std::int64_t member, const std::string& id,
                            const std::vector<wire::TurnRecord>& chain) {
    std::map<std::string, std::string> parents;
    for (const wire::TurnRecord& record : chain)
        if (!record.id.empty()) parents.emplace(record.id, record.parent);
    std::string next = id;
    for (auto parent = parents.find(next); parent != parents.end(); parent = parents.find(next)) {
        next = parent->second;
        parents.erase(parent);
    }
    if (next.empty()) return false;
    denials_[next].insert(member);
    return true;
}

bool ChainSearch::is_denied_by(std::int64_t identity) const {
    const auto denied = denials_.find(missing_);
    return denied != denials_.end() && denied->second.count(identity) > 0;
}

std::vector<wire::TurnRecord> ChainSearch::records() {
    const Found found = find();
    std::vector<wire::TurnRecord> oldest_first;
    oldest_first.reserve(found.records.size());
    for (auto record = found.records.rbegin(); record != found.records.rend(); ++record)
        oldest_first.push_back(**record);
    return oldest_first;
}

}  // namespace whinledge::storage_plane
