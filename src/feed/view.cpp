#include "feed/view.hpp"

#include <utility>

#include "feed/watch.hpp"

namespace whinledge::feed {

View::News View::take(wire::WatchReply& reply) {
    News news;
    const bool newer = reply.state.sequence > state_.sequence && reply.state.sequence <= kMostSequence;
    if (reply.__isset.state && newer) {
        state_ = std::move(reply.state);
        news.state = true;
    }
    news.servers = take_servers(reply);
    if (reply.fresh && !confirmed_ && state_.sequence > 0 && state_.sequence >= reply.sequence)
        news.confirmed = confirmed_ = true;
    return news;
}

bool View::take_servers(wire::WatchReply& reply) {
    if (reply.__isset.servers) {
        wants_whole_ = false;
        return servers_.replace(std::move(reply.servers));
    }
    if (!reply.__isset.difference) return false;
    const servers_list::Applied applied = servers_.apply(reply.difference);
    if (applied == servers_list::Applied::mismatch) wants_whole_ = true;
    return applied == servers_list::Applied::yes;
}

bool View::behind(const wire::WatchReply& reply) const {
    return reply.sequence > state_.sequence ||
           list_is_newer(reply.list_term, reply.list_sequence, servers().term, servers().sequence);
}

}  // namespace whinledge::feed
