#include "control_plane/list_replica.hpp"

#include <algorithm>

namespace whinledge::control_plane {

std::optional<wire::ServersDifference> ListReplica::difference_since(std::int64_t term,
                                                                     std::int64_t sequence) const {
    return recent_.since(term, sequence, list().servers.size());
}

ListReplica::Taken ListReplica::take(const wire::ListNews& news) {
    Taken taken;
    taken.living_reader = news.term >= list().term && news.term <= servers_list::kMostVersion;
    if (news.__isset.difference)
        taken.changed = take_difference(news.difference);
    else if (news.__isset.servers)
        taken.changed = take_whole(news.servers);
    taken.reply.differences = true;
    if (wants_whole_) return taken;
    taken.reply.term = list().term;
    taken.reply.sequence = list().sequence;
    return taken;
}

bool ListReplica::take_difference(const wire::ServersDifference& difference) {
    const servers_list::Applied applied = kept_.apply(difference);
    if (applied == servers_list::Applied::mismatch) {
        ++mismatches_;
        wants_whole_ = true;
    }
    if (applied != servers_list::Applied::yes) return false;
    recent_.add(difference);
    return true;
}

bool ListReplica::take_whole(const wire::ServersList& list) {
    wants_whole_ = false;
    const wire::ServersList before = kept_.list();
    if (!kept_.replace(list)) return false;
    recent_.add(servers_list::difference(before, kept_.list()));
    return true;
}

bool ListReplica::publish(std::int64_t term, std::vector<wire::ListedServer> servers) {
    wire::ServersList next;
    // Nobody takes a list under a number that is not above its own.
    const bool outdone = heard_.first == term && is_behind(heard_);
    const std::int64_t highest = outdone ? heard_.second : list().term == term ? list().sequence : 0;
    next.term = term;
    next.sequence = highest + 1;
    next.servers = std::move(servers);
    wire::ServersDifference difference = servers_list::difference(list(), next);
    const bool same = list().term == term && difference.put.empty() && difference.removed.empty();
    if ((same && !outdone) || !kept_.replace(std::move(next))) return false;
    recent_.add(std::move(difference));
    return true;
}

bool ListReplica::lacks(const Version& had) const { return Version(list().term, list().sequence) > had; }
bool ListReplica::is_behind(const Version& had) const { return Version(list().term, list().sequence) < had; }

ListReplica::News ListReplica::news_for(const std::string& address) {
    News news;
    news.message.protocol = 1;
    news.message.term = list().term;
    news.message.sequence = list().sequence;
    const auto other = others_.find(address);
    news.asks = other == others_.end();
    if (news.asks || !lacks(other->second.had)) return news;
    std::optional<wire::ServersDifference> difference;
    if (other->second.takes_differences)
        difference = difference_since(other->second.had.first, other->second.had.second);
    if (difference) {
        news.message.__set_difference(*difference);
    } else {
        news.message.__set_servers(list());
        ++told_whole_;
    }
    return news;
}

bool ListReplica::answered(const std::string& address, bool asked, const wire::ListNewsReply& reply) {
    const Version had(reply.term, reply.sequence);
    others_[address] = {had, reply.differences};
    if (servers_list::can_be_followed(reply.term, reply.sequence)) heard_ = std::max(heard_, had);
    return asked && lacks(had);
}

void ListReplica::failed(const std::string& address) { others_.erase(address); }

}  // namespace whinledge::control_plane
