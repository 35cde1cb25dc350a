#include "overlay/relay_tree.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::overlay {
namespace {

constexpr Millis kBeatPeriod = 800;  // a sign of life over each link that carried nothing else
constexpr Millis kGraftDelay = 150;  // time for the push to come by itself
constexpr Millis kFarDelay = 60;     // time for one in the own zone to tell of it as well
constexpr Millis kGraftRetry = 120;  // time for a grafted link to send it
constexpr Millis kCheckDelay = 200;  // time for a push to be acknowledged
constexpr int kMostChecks = 3;       // the signs of life tell of it after that
constexpr int kMostSilences = 2;     // calls in a row without a reply end a link
constexpr int kMostHops = 1 << 20;
constexpr std::size_t kMostChanges = 12;  // that are kept, and go with one message

void raise(std::map<Topic, Version>& versions, Topic topic, Version version) {
    Version& known = versions[topic];
    known = std::max(known, version);
}

Version find_version(const std::map<Topic, Version>& versions, Topic topic) {
    const auto at = versions.find(topic);
    return at == versions.end() ? Version{} : at->second;
}

}  // namespace

RelayTree::RelayTree(Options options)
    : options_(std::move(options)), random_(options_.random_seed), root_seen_(options_.started) {}

// ---- Links
// ---------------------------------------------------------------------------------------------------

void RelayTree::linked(Millis now, const Contact& contact, Effects& effects) {
    Link& link = links_[contact.address];
    link = {};
    link.contact = contact;
    if (parent_ == contact.address) parent_.clear();
    link.beat_at = now + kBeatPeriod * (0.9 + 0.2 * unit());
    // Both sides tell what they have; what the other lacks follows.
    Drafts drafts;
    if (!items_.empty()) drafts[contact.address];
    send(now, drafts, effects);
}

void RelayTree::unlinked(Millis now, const std::string& address, Effects& effects) {
    links_.erase(address);
    if (parent_ == address) parent_.clear();
    Drafts drafts;
    graft_due(now, drafts);
    send(now, drafts, effects);
}

bool RelayTree::eager(const std::string& address) const {
    const auto at = links_.find(address);
    return at != links_.end() && at->second.eager;
}

void RelayTree::heard(Millis now, Link& link, Millis root_age) {
    link.silences = 0;
    link.beat_at = now + kBeatPeriod * (0.9 + 0.2 * unit());
    root_seen_ = std::max(root_seen_, now - std::max(root_age, 0.0));
}

// ---- Versions
// ------------------------------------------------------------------------------------------------

Version RelayTree::held(Topic topic) const {
    const auto at = items_.find(topic);
    return at == items_.end() ? Version{} : at->second.version;
}

std::vector<wire::TopicVersion> RelayTree::digest() const {
    std::vector<wire::TopicVersion> all;
    for (const auto& [topic, item] : items_) {
        all.push_back(told_version(topic, item.version));
        all.back().hops = item.hops;
    }
    return all;
}

void RelayTree::publish(Millis now, Topic topic, Version version, std::shared_ptr<const std::string> body,
                        Effects& effects) {
    if (version <= held(topic)) return;
    items_[topic] = {version, std::move(body), 0, {}};
    Drafts drafts;
    spread(topic, drafts);
    send(now, drafts, effects);
}

void RelayTree::publish_change(Millis now, Topic topic, Version base, Version version,
                               std::shared_ptr<const std::string> difference, Effects& effects) {
    if (version <= held(topic)) return;
    add_change(items_[topic], {base, version, std::move(difference)});
    items_[topic].hops = 0;
    Drafts drafts;
    spread(topic, drafts);
    send(now, drafts, effects);
}

void RelayTree::add_change(Item& item, Change change) {
    if (change.base != item.version) item.recent.clear();
    item.version = change.version;
    item.body.reset();
    item.recent.push_back(std::move(change));
    if (item.recent.size() > kMostChanges) item.recent.pop_front();
}

bool RelayTree::take_push(const std::string& from, const wire::TopicPush& push, Effects& effects) {
    const Topic topic = push.version.topic;
    const Version version = version_of(push.version);
    if (version <= held(topic)) return false;
    if (!push.__isset.base)
        take_whole(push);
    else if (!take_difference(push))
        return false;
    Item& item = items_.at(topic);
    item.hops = std::clamp(push.hops, 0, kMostHops);
    if (links_.contains(from)) parent_ = from;
    effects.delivered.push_back({topic, version,
                                 push.__isset.base ? item.recent.back().difference : item.body, item.hops,
                                 push.__isset.base});
    return true;
}

// Where a version was held before, the difference to it is worked out here: whoever gets its versions from
// this process would need the whole as well otherwise, and so on to the last.
void RelayTree::take_whole(const wire::TopicPush& push) {
    const Topic topic = push.version.topic;
    const Version before = held(topic);
    const bool kept = options_.keeper && options_.keeper->replace(topic, push.body);
    const auto difference = kept ? options_.keeper->replacement(topic) : nullptr;
    if (difference && before != Version{})
        add_change(items_.at(topic), {before, version_of(push.version), difference});
    else
        items_[topic] = {version_of(push.version), nullptr, 0, {}};
    if (!kept) items_.at(topic).body = std::make_shared<const std::string>(push.body);
}

bool RelayTree::take_difference(const wire::TopicPush& push) {
    const Topic topic = push.version.topic;
    if (!options_.keeper || held(topic) == Version{} || held(topic) != version_of(push.base)) return false;
    if (!options_.keeper->apply(topic, push.body)) {
        items_.erase(topic);  // without a version, the whole is asked for
        return false;
    }
    add_change(items_.at(topic), {version_of(push.base), version_of(push.version),
                                  std::make_shared<const std::string>(push.body)});
    return true;
}

// The newest to all links: the body over eager ones, its version over the rest.
void RelayTree::spread(Topic topic, Drafts& drafts) {
    const Version version = held(topic);
    if (const auto at = wants_.find(topic); at != wants_.end() && at->second.version <= version)
        wants_.erase(at);
    for (auto& [address, link] : links_) {
        if (find_version(link.has, topic) >= version) continue;
        if (link.eager) {
            push_to(link, topic, find_version(link.has, topic), drafts);
        } else {
            raise(link.told, topic, version);
            drafts[address];  // every message tells what is held
        }
    }
}

void RelayTree::push_to(Link& link, Topic topic, Version base, Drafts& drafts) {
    const Item& item = items_.at(topic);
    std::vector<wire::TopicPush>& pushes = drafts[link.contact.address].pushes;
    auto change = item.recent.end();
    if (link.differences && base != Version{})
        change = std::find_if(item.recent.begin(), item.recent.end(),
                              [base](const Change& each) { return each.base == base; });
    if (change == item.recent.end()) {
        wire::TopicPush& whole = pushes.emplace_back();
        whole.hops = item.hops + 1;
        whole.version = told_version(topic, item.version);
        whole.body = item.body ? *item.body : *options_.keeper->whole(topic);
    }
    for (; change != item.recent.end(); ++change) {
        wire::TopicPush& difference = pushes.emplace_back();
        difference.hops = item.hops + 1;
        difference.version = told_version(topic, change->version);
        difference.__set_base(told_version(topic, change->base));
        difference.body = *change->difference;
    }
    raise(link.told, topic, item.version);
}

// ---- Messages
// ------------------------------------------------------------------------------------------------

wire::RelayReply RelayTree::received(Millis now, const std::string& from, const wire::RelayMessage& message,
                                     Effects& effects) {
    const auto at = links_.find(from);
    Link* const link = at == links_.end() ? nullptr : &at->second;
    wire::RelayReply reply;
    reply.linked = link != nullptr;
    Drafts drafts;
    if (link) {
        link->differences = message.differences;
        heard(now, *link, static_cast<Millis>(message.root_age_ms));
        for (const wire::TopicPush& push : message.pushes)
            raise(link->has, push.version.topic, version_of(push.version));
    }
    std::map<Topic, Version> newest;
    for (const wire::TopicPush& push : message.pushes)
        raise(newest, push.version.topic, version_of(push.version));
    for (const wire::TopicPush& push : message.pushes) {
        const bool is_newest = version_of(push.version) == newest[push.version.topic];
        if (take_push(from, push, effects)) {
            if (link) link->eager = true;
            if (is_newest) spread(push.version.topic, drafts);
        } else if (link && parent_ != from && is_newest &&
                   version_of(push.version) == held(push.version.topic)) {
            link->eager = false;
            reply.prune = true;
        }
    }
    if (link) {
        if (message.prune) link->eager = false;
        take_digest(now, *link, message.held, drafts);
        take_grafts(*link, message.grafts, drafts);
        reply.grafts = grafts_due(now, from);
    }
    reply.differences = options_.keeper != nullptr;
    reply.held = digest();
    reply.root_age_ms = static_cast<std::int64_t>(now - root_seen(now));
    send(now, drafts, effects);
    return reply;
}

void RelayTree::answered(Millis now, const std::string& from, const wire::RelayReply& reply,
                         Effects& effects) {
    const auto at = links_.find(from);
    if (at == links_.end()) return;
    Link& link = at->second;
    link.differences = reply.differences;
    heard(now, link, static_cast<Millis>(reply.root_age_ms));
    if (reply.prune) link.eager = false;
    Drafts drafts;
    take_digest(now, link, reply.held, drafts);
    take_grafts(link, reply.grafts, drafts);
    if (!lags(link)) {
        link.check_at = kNever;
        link.checks = 0;
    }
    graft_due(now, drafts);
    send(now, drafts, effects);
}

bool RelayTree::failed(Millis now, const std::string& address, CallFailure failure) {
    const auto at = links_.find(address);
    if (at == links_.end()) return false;
    Link& link = at->second;
    if (failure == CallFailure::refused || ++link.silences >= kMostSilences) return true;
    link.beat_at = std::min(link.beat_at, now);  // ask again at once
    due_ = std::min(due_, now);
    return false;
}

void RelayTree::take_digest(Millis now, Link& link, const std::vector<wire::TopicVersion>& digest,
                            Drafts& drafts) {
    for (const wire::TopicVersion& told : digest) {
        if (version_of(told) == Version{}) continue;  // who holds nothing tells nothing
        raise(link.has, told.topic, version_of(told));
        if (version_of(told) > held(told.topic)) want(now, link, told.topic, version_of(told));
        if (version_of(told) == held(told.topic)) prefer(link, told, drafts);
    }
}

// Whoever is as near to a root does not get it from here, so that no circle comes about.
void RelayTree::prefer(Link& link, const wire::TopicVersion& told, Drafts& drafts) {
    const auto parent = links_.find(parent_);
    if (parent == links_.end() || near(parent->second) || !near(link) || link.eager) return;
    const Item& item = items_.at(told.topic);
    if (told.hops > item.hops) return;
    parent->second.eager = false;
    drafts[parent_].prune = true;
    link.eager = true;
    drafts[link.contact.address].grafts.push_back(told_version(told.topic, item.version));
    parent_ = link.contact.address;
}

void RelayTree::take_grafts(Link& link, const std::vector<wire::TopicVersion>& grafts, Drafts& drafts) {
    for (const wire::TopicVersion& has : grafts) {
        link.eager = true;
        if (held(has.topic) > version_of(has)) push_to(link, has.topic, version_of(has), drafts);
    }
}

// ---- Grafts
// --------------------------------------------------------------------------------------------------

// How long to wait for the push, or for a better one to ask.
Millis RelayTree::patience(const Link& holder) const {
    if (parent_ == holder.contact.address) return 0;
    if (!parent_.empty()) return kGraftDelay;
    const bool better = !near(holder) && std::any_of(links_.begin(), links_.end(),
                                                     [this](const auto& each) { return near(each.second); });
    return better ? kFarDelay : 0;
}

void RelayTree::want(Millis now, const Link& link, Topic topic, Version version) {
    if (!options_.grafts) return;
    const std::string& holder = link.contact.address;
    Want& want = wants_[topic];
    if (version > want.version) want = {version, {}, 0, want.graft_at};
    if (version != want.version ||
        std::find(want.holders.begin(), want.holders.end(), holder) != want.holders.end())
        return;
    if (want.next == 0) want.graft_at = std::min(want.graft_at, now + patience(link));
    // Near ones are asked first.
    const auto next = want.holders.begin() + static_cast<std::ptrdiff_t>(want.next);
    want.holders.insert(near(link) ? next : want.holders.end(), holder);
    due_ = std::min(due_, want.graft_at);
}

std::vector<wire::TopicVersion> RelayTree::grafts_due(Millis now, const std::string& holder) {
    std::vector<wire::TopicVersion> grafts;
    for (auto& [topic, want] : wants_) {
        if (want.graft_at > now || want.holders.size() <= want.next || want.holders[want.next] != holder)
            continue;
        ++want.next;
        want.graft_at = now + kGraftRetry;
        links_.at(holder).eager = true;
        grafts.push_back(told_version(topic, held(topic)));
    }
    return grafts;
}

// Asks the holders one after another. Whoever has been asked is asked no more until it tells of it again.
void RelayTree::graft_due(Millis now, Drafts& drafts) {
    for (auto at = wants_.begin(); at != wants_.end();) {
        auto& [topic, want] = *at;
        if (want.graft_at > now) {
            ++at;
            continue;
        }
        while (want.next < want.holders.size() && !links_.contains(want.holders[want.next])) ++want.next;
        if (want.next >= want.holders.size()) {
            at = wants_.erase(at);
            continue;
        }
        const std::string& holder = want.holders[want.next++];
        links_.at(holder).eager = true;
        drafts[holder].grafts.push_back(told_version(topic, held(topic)));
        want.graft_at = now + kGraftRetry;
        ++at;
    }
}

// ---- Time
// ----------------------------------------------------------------------------------------------------

bool RelayTree::lags(const Link& link) const {
    return std::any_of(link.told.begin(), link.told.end(), [&link](const auto& told) {
        return find_version(link.has, told.first) < told.second;
    });
}

void RelayTree::check(Millis now, Link& link, Drafts& drafts) {
    if (link.check_at > now) return;
    link.check_at = kNever;
    if (!lags(link) || ++link.checks > kMostChecks) return;
    drafts[link.contact.address];
}

void RelayTree::tick(Millis now, Effects& effects) {
    Drafts drafts;
    graft_due(now, drafts);
    for (auto& [address, link] : links_) {
        check(now, link, drafts);
        if (link.beat_at <= now) drafts[address];
    }
    send(now, drafts, effects);
}

void RelayTree::send(Millis now, Drafts& drafts, Effects& effects) {
    const std::vector<wire::TopicVersion> all = digest();
    for (auto& [address, message] : drafts) {
        Link& link = links_.at(address);
        message.held = all;
        message.differences = options_.keeper != nullptr;
        message.root_age_ms = static_cast<std::int64_t>(now - root_seen(now));
        for (const auto& [topic, item] : items_) raise(link.told, topic, item.version);
        if (link.check_at == kNever && lags(link)) link.check_at = now + kCheckDelay;
        if (!message.pushes.empty()) link.checks = 0;
        link.beat_at = now + kBeatPeriod * (0.9 + 0.2 * unit());
        Outgoing call;
        call.to = link.contact;
        call.request.relay = std::move(message);
        call.request.__isset.relay = true;
        effects.calls.push_back(std::move(call));
    }
    work_out_due();
}

void RelayTree::work_out_due() {
    due_ = kNever;
    for (const auto& [address, link] : links_) due_ = std::min({due_, link.beat_at, link.check_at});
    for (const auto& [topic, want] : wants_) due_ = std::min(due_, want.graft_at);
}

}  // namespace whinledge::overlay
