#include "overlay/overlay_node.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::overlay {
namespace {

constexpr Millis kAdriftAfter = 8000;  // without a sign of any root
constexpr Millis kAdriftPause = 4000;  // between two attempts to find one
constexpr std::size_t kMostContacts = 32;
constexpr Topic kMostTopics = 16;  // their numbers are below it
constexpr std::size_t kLongestAddress = 64;
constexpr std::size_t kLongestZone = 256;

bool bounded(const Contact& contact) {
    return contact.address.size() <= kLongestAddress && contact.zone.size() <= kLongestZone;
}

bool bounded(const std::vector<Contact>& contacts) {
    return contacts.size() <= kMostContacts &&
           std::all_of(contacts.begin(), contacts.end(), [](const Contact& each) { return bounded(each); });
}

bool bounded(const wire::TopicVersion& version) {
    return version.topic >= 0 && version.topic < kMostTopics && version.term >= 0 && version.sequence >= 0;
}

bool bounded(const std::vector<wire::TopicVersion>& versions) {
    return versions.size() <= std::size_t{kMostTopics} &&
           std::all_of(versions.begin(), versions.end(),
                       [](const wire::TopicVersion& each) { return bounded(each); });
}

bool bounded(const std::vector<wire::TopicPush>& pushes) {
    return pushes.size() <= std::size_t{kMostTopics} &&
           std::all_of(pushes.begin(), pushes.end(), [](const wire::TopicPush& each) {
               return bounded(each.version) && bounded(each.base);
           });
}

// A message of another process may hold anything.
bool bounded(const wire::OverlayRequest& request) {
    return !request.sender.address.empty() && bounded(request.sender) && bounded(request.shuffle.contacts) &&
           bounded(request.forward_join.newcomer) && bounded(request.relay.pushes) &&
           bounded(request.relay.held) && bounded(request.relay.grafts);
}

bool bounded(const wire::OverlayReply& reply) {
    return bounded(reply.neighbour.contacts) && bounded(reply.shuffle.contacts) &&
           bounded(reply.relay.held) && bounded(reply.relay.grafts);
}

PartialView::Options view_options(const OverlayNode::Options& options) {
    return {options.self, options.seeds, options.sizes, options.random_seed};
}

RelayTree::Options tree_options(const OverlayNode::Options& options) {
    return {options.self.control,    options.self.zone, options.started,
            options.random_seed + 1, options.grafts,    options.keeper};
}

}  // namespace

OverlayNode::OverlayNode(const Options& options)
    : self_(options.self),
      random_(options.random_seed + 2),
      view_(view_options(options)),
      tree_(tree_options(options)),
      adrift_at_(options.started + kAdriftAfter) {}

bool OverlayNode::in_touch(const Contact& with) const {
    const auto at = view_.active().find(with.address);
    return at != view_.active().end() && at->second.incarnation == with.incarnation;
}

wire::OverlayReply OverlayNode::handle(Millis now, const wire::OverlayRequest& request, Effects& effects) {
    wire::OverlayReply reply;
    reply.protocol = kOverlayProtocol;
    reply.incarnation = self_.incarnation;
    if (!bounded(request)) return reply;
    const Contact& from = request.sender;
    if (request.__isset.neighbour) reply.__set_neighbour(view_.asked(now, from, request.neighbour, effects));
    if (request.__isset.shuffle) reply.__set_shuffle(view_.shuffled(now, from, request.shuffle));
    if (request.__isset.forward_join) view_.walked(now, from, request.forward_join, effects);
    if (request.disconnect) view_.disconnected(now, from, effects);
    if (in_touch(from)) view_.link_trusted(from.address);
    if (request.__isset.relay)
        reply.__set_relay(
            tree_.received(now, in_touch(from) ? from.address : std::string(), request.relay, effects));
    settle(now, effects);
    return reply;
}

void OverlayNode::answered(Millis now, const Outgoing& call, const wire::OverlayReply& reply,
                           Effects& effects) {
    if (!bounded(reply)) return failed(now, call, CallFailure::refused, effects);
    Contact from = call.to;
    from.incarnation = reply.incarnation;
    if (call.request.__isset.neighbour) view_.answered(now, from, reply.neighbour, effects);
    if (call.request.__isset.shuffle) view_.answered(now, from, reply.shuffle, effects);
    if (in_touch(call.to)) view_.link_trusted(from.address);
    if (call.request.__isset.relay && in_touch(call.to)) {
        if (reply.relay.linked && reply.incarnation == call.to.incarnation)
            tree_.answered(now, from.address, reply.relay, effects);
        else if (reply.incarnation != call.to.incarnation)
            view_.link_lost(now, from.address, effects);  // another process, which may know nobody yet
        else
            view_.link_denied(now, from.address, effects);
    }
    settle(now, effects);
}

void OverlayNode::failed(Millis now, const Outgoing& call, CallFailure failure, Effects& effects) {
    const std::string& address = call.to.address;
    if (!call.request.__isset.relay) {
        view_.failed(now, address, failure, effects);
    } else if (in_touch(call.to)) {
        if (tree_.failed(now, address, failure))
            view_.link_lost(now, address, effects);
        else
            view_.link_doubted(now, address, effects);
    }
    settle(now, effects);
}

void OverlayNode::publish(Millis now, Topic topic, Version version, std::shared_ptr<const std::string> body,
                          Effects& effects) {
    tree_.publish(now, topic, version, std::move(body), effects);
    settle(now, effects);
}

void OverlayNode::publish_change(Millis now, Topic topic, Version base, Version version,
                                 std::shared_ptr<const std::string> difference, Effects& effects) {
    tree_.publish_change(now, topic, base, version, std::move(difference), effects);
    settle(now, effects);
}

void OverlayNode::tick(Millis now, Effects& effects) {
    const Millis silent_at = tree_.root_seen(now) + kAdriftAfter;
    if (now < silent_at) {
        adrift_at_ = silent_at;
    } else if (adrift_at_ <= now) {
        view_.adrift(now);
        const double unit = static_cast<double>(random_() >> 11) * 0x1.0p-53;
        adrift_at_ = now + kAdriftPause * (0.5 + unit);
    }
    if (view_.due() <= now) view_.tick(now, effects);
    if (tree_.due() <= now) tree_.tick(now, effects);
    settle(now, effects);
}

Millis OverlayNode::due() const { return std::min({view_.due(), tree_.due(), adrift_at_}); }

void OverlayNode::settle(Millis now, Effects& effects) {
    const std::vector<Contact> unlinked = std::exchange(effects.unlinked, {});
    const std::vector<Contact> linked = std::exchange(effects.linked, {});
    for (const Contact& contact : unlinked) tree_.unlinked(now, contact.address, effects);
    for (const Contact& contact : linked)
        if (view_.linked(contact.address)) tree_.linked(now, contact, effects);
    for (Outgoing& call : effects.calls) {
        call.request.protocol = kOverlayProtocol;
        call.request.sender = self_;
    }
}

}  // namespace whinledge::overlay
