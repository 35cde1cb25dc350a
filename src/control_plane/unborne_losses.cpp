#include "control_plane/unborne_losses.hpp"

#include "failure_domain/spread.hpp"
#include "storage_map/ledger_placement.hpp"

namespace whinledge::control_plane {
namespace {

using failure_domain::LossTolerance;
using failure_domain::Spread;

// "1 zone or 2 machines".
std::string in_words(const LossTolerance& survive) {
    std::string words;
    const auto add = [&](int count, const char* one, const char* several) {
        if (count <= 0) return;
        if (!words.empty()) words.append(" or ");
        words.append(std::to_string(count)).append(" ").append(count == 1 ? one : several);
    };
    add(survive.regions, "region", "regions");
    add(survive.zones, "zone", "zones");
    add(survive.machines, "machine", "machines");
    return words;
}

std::string another_place(const LossTolerance& survive) {
    if (survive.regions > 0) return "in another region";
    return survive.zones > 0 ? "in another zone" : "in another zone, if there is one";
}

template <class Members>
Spread spread_of(const Members& members) {
    Spread spread;
    for (const auto& member : members) spread.add(failure_domain::location_of(member));
    return spread;
}

Spread staying_members(const wire::StorageMap& storage) {
    Spread spread;
    for (const wire::StorageMember& member : storage.members)
        if (member.state != wire::StorageState::retiring) spread.add(failure_domain::location_of(member));
    return spread;
}

bool ledgers_bear(const LossTolerance& survive, const wire::StorageMap& storage) {
    std::vector<storage_map::LedgerVoter> voters;
    for (const wire::StorageMember& member : storage.members)
        if (storage_map::votes(member))
            voters.push_back({member.identity, failure_domain::location_of(member)});
    return storage_map::LedgerQuorum(voters, survive).bears_losses();
}

}  // namespace

std::vector<std::string> unborne_losses(const LossTolerance& survive,
                                        const std::vector<wire::Acceptor>& acceptors,
                                        const wire::StorageMap& storage) {
    std::vector<std::string> unborne;
    const std::string loss = std::string("the loss of ").append(in_words(survive));
    const std::string remedy = std::string(" ").append(another_place(survive));
    if (!acceptors.empty() && !spread_of(acceptors).keeps_majority(survive))
        unborne.push_back("configuration: " + loss + " can leave no majority of the " +
                          std::to_string(acceptors.size()) + " acceptors; add a control process" + remedy);
    if (storage.epoch == 0) return unborne;
    if (!staying_members(storage).outlasts(survive))
        unborne.push_back("turns: " + loss + " can take all copies of a turn; add a storage machine" +
                          remedy);
    if (!ledgers_bear(survive, storage))
        unborne.push_back(
            "budgets: " + loss +
            " can leave too few storage machines to decide about budgets; add a storage machine" + remedy);
    return unborne;
}

}  // namespace whinledge::control_plane
