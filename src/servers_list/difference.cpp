#include "servers_list/difference.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace whinledge::servers_list {
namespace {

std::uint64_t digest_of(const wire::ListedServer& server) {
    std::string text;
    for (const std::string* part : {&server.id, &server.service_name, &server.address, &server.zone})
        text += *part + '\0';
    text += std::to_string(server.slots) + (server.draining ? 'd' : '-');
    return XXH64(text.data(), text.size(), 0);
}

bool before(const wire::ListedServer& a, const wire::ListedServer& b) { return a.id < b.id; }

auto place_of(std::vector<wire::ListedServer>& servers, const std::string& id) {
    return std::lower_bound(
        servers.begin(), servers.end(), id,
        [](const wire::ListedServer& server, const std::string& wanted) { return server.id < wanted; });
}

bool holds(std::vector<wire::ListedServer>::const_iterator at, const std::vector<wire::ListedServer>& servers,
           const std::string& id) {
    return at != servers.end() && at->id == id;
}

auto version_of(const wire::ServersList& list) { return std::make_tuple(list.term, list.sequence); }

}  // namespace

bool can_be_followed(std::int64_t term, std::int64_t sequence) {
    return term <= kMostVersion && sequence >= 0 && sequence <= kMostVersion;
}

bool same_server(const wire::ListedServer& a, const wire::ListedServer& b) {
    return a.id == b.id && a.service_name == b.service_name && a.address == b.address && a.zone == b.zone &&
           a.draining == b.draining && a.slots == b.slots;
}

std::int64_t digest_of(const std::vector<wire::ListedServer>& servers) {
    std::uint64_t digest = 0;
    for (const wire::ListedServer& server : servers) digest += digest_of(server);
    return static_cast<std::int64_t>(digest);
}

wire::ServersDifference difference(const wire::ServersList& older, const wire::ServersList& newer) {
    wire::ServersDifference made;
    made.base_term = older.term;
    made.base_sequence = older.sequence;
    made.term = newer.term;
    made.sequence = newer.sequence;
    made.digest = digest_of(newer.servers);
    auto old = older.servers.begin();
    for (const wire::ListedServer& server : newer.servers) {
        for (; old != older.servers.end() && old->id < server.id; ++old) made.removed.push_back(old->id);
        const bool known = old != older.servers.end() && old->id == server.id;
        if (!known || !same_server(*old, server)) made.put.push_back(server);
        if (known) ++old;
    }
    for (; old != older.servers.end(); ++old) made.removed.push_back(old->id);
    return made;
}

bool KeptList::replace(wire::ServersList list) {
    if (version_of(list) <= version_of(list_) || !can_be_followed(list.term, list.sequence)) return false;
    list_ = std::move(list);
    if (!std::is_sorted(list_.servers.begin(), list_.servers.end(), before))
        std::sort(list_.servers.begin(), list_.servers.end(), before);
    digest_ = digest_of(list_.servers);
    return true;
}

Applied KeptList::apply(const wire::ServersDifference& difference) {
    if (std::make_tuple(difference.term, difference.sequence) <= version_of(list_) ||
        !can_be_followed(difference.term, difference.sequence))
        return Applied::not_newer;
    if (std::make_tuple(difference.base_term, difference.base_sequence) != version_of(list_))
        return Applied::other_base;
    // What it would come to, before anything is touched.
    auto& servers = list_.servers;
    std::map<std::string, const wire::ListedServer*> changes;  // by id; null: removed
    for (const std::string& id : difference.removed) changes[id] = nullptr;
    for (const wire::ListedServer& server : difference.put) changes[server.id] = &server;
    auto digest = static_cast<std::uint64_t>(digest_);
    bool moves = false;
    for (const auto& [id, server] : changes) {
        const auto at = place_of(servers, id);
        const bool known = holds(at, servers, id);
        if (known) digest -= digest_of(*at);
        if (server) digest += digest_of(*server);
        moves = moves || known != (server != nullptr);
    }
    if (static_cast<std::int64_t>(digest) != difference.digest) return Applied::mismatch;
    for (const auto& [id, server] : changes)
        if (const auto at = place_of(servers, id); server && holds(at, servers, id)) *at = *server;
    if (moves) {
        std::vector<wire::ListedServer> next;
        next.reserve(servers.size() + difference.put.size());
        auto change = changes.begin();
        const auto add_new = [&](const std::string* until) {
            for (; change != changes.end() && (!until || change->first < *until); ++change)
                if (change->second) next.push_back(*change->second);
        };
        for (wire::ListedServer& server : servers) {
            add_new(&server.id);
            const bool named = change != changes.end() && change->first == server.id;
            if (!named || change->second) next.push_back(std::move(server));
            if (named) ++change;
        }
        add_new(nullptr);
        servers = std::move(next);
    }
    list_.term = difference.term;
    list_.sequence = difference.sequence;
    digest_ = difference.digest;
    return Applied::yes;
}

void RecentChanges::add(wire::ServersDifference change) {
    if (!changes_.empty() && std::tie(changes_.back().term, changes_.back().sequence) !=
                                 std::tie(change.base_term, change.base_sequence))
        changes_.clear();
    changes_.push_back(std::move(change));
    if (changes_.size() > kMost) changes_.pop_front();
}

std::optional<wire::ServersDifference> RecentChanges::since(std::int64_t term, std::int64_t sequence,
                                                            std::size_t list_size) const {
    if (term == 0 && sequence == 0) return std::nullopt;  // has none, or distrusts what it has
    const auto first = std::find_if(changes_.begin(), changes_.end(), [&](const auto& change) {
        return change.base_term == term && change.base_sequence == sequence;
    });
    if (first == changes_.end()) return std::nullopt;
    std::map<std::string, const wire::ListedServer*> all;  // by id; null: removed
    for (auto change = first; change != changes_.end(); ++change) {
        for (const std::string& id : change->removed) all[id] = nullptr;
        for (const wire::ListedServer& server : change->put) all[server.id] = &server;
    }
    if (all.size() * 2 > list_size) return std::nullopt;
    wire::ServersDifference made;
    made.base_term = term;
    made.base_sequence = sequence;
    made.term = changes_.back().term;
    made.sequence = changes_.back().sequence;
    made.digest = changes_.back().digest;
    for (const auto& [id, server] : all)
        if (server)
            made.put.push_back(*server);
        else
            made.removed.push_back(id);
    return made;
}

}  // namespace whinledge::servers_list
