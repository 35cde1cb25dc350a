#include "overlay/partial_view.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::overlay {
namespace {

constexpr std::size_t kMostControls = 8;  // control processes that are remembered
constexpr std::size_t kMostLost = 8;      // lost neighbours that are knocked at
constexpr std::size_t kSampleSize = 6;    // contacts in one message
constexpr std::int32_t kWalkLength = 4;   // hops of a newcomer's walk
constexpr std::int32_t kWalkNotes = 2;    // hops before its end where the newcomer is noted as a contact
constexpr Millis kShufflePeriod = 5000;
constexpr Millis kRefusedPause = 1000;  // a contact that had no room
constexpr Millis kLongestRefusedPause = 8000;
constexpr Millis kControlPause = 150;  // a control process that did not answer
constexpr Millis kLongestControlPause = 4000;
constexpr Millis kFirstKnock = 500;
constexpr double kKnockPauseGrows = 1.5;
constexpr Millis kLongestKnockPause = 5000;
constexpr int kMostKnocks = 24;  // about 100 s

template <class Entries>
auto find_address(Entries& entries, const std::string& address) {
    return std::find_if(entries.begin(), entries.end(),
                        [&address](const auto& entry) { return entry.contact.address == address; });
}

Outgoing disconnect_call(const Contact& to) {
    Outgoing call;
    call.to = to;
    call.request.disconnect = true;
    return call;
}

}  // namespace

PartialView::PartialView(Options options) : options_(std::move(options)), random_(options_.random_seed) {
    set_seeds(options_.seeds);
}

void PartialView::set_seeds(std::vector<std::string> seeds) {
    options_.seeds = std::move(seeds);
    for (const std::string& address : options_.seeds) {
        Contact contact;
        contact.address = address;
        contact.control = true;
        learn_control(contact);
    }
    due_ = 0;
}

std::vector<Contact> PartialView::passive() const {
    std::vector<Contact> contacts;
    contacts.reserve(passive_.size());
    for (const Candidate& candidate : passive_) contacts.push_back(candidate.contact);
    return contacts;
}

// ---- Requests of others
// --------------------------------------------------------------------------------------

wire::NeighbourReply PartialView::asked(Millis now, const Contact& from,
                                        const wire::NeighbourRequest& request, Effects& effects) {
    wire::NeighbourReply reply;
    if (is_self(from)) return reply;
    if (from.control) learn_control(from);
    const bool urgent = request.urgent || from.control;
    if (linked(from.address) || exempt(from) || has_room()) {
        reply.accepted = true;
    } else if (urgent && !options_.self.control) {
        evict_one(from.address, effects);
        reply.accepted = true;
    }
    if (!reply.accepted || request.joining) reply.contacts = sample(kSampleSize, from.address);
    if (request.joining) {
        if (const auto next = random_neighbour(from.address, from.address)) {
            Outgoing call;
            call.to = *next;
            wire::ForwardJoin walk;
            walk.newcomer = from;
            walk.hops_left = kWalkLength;
            call.request.__set_forward_join(walk);
            effects.calls.push_back(std::move(call));
        }
    }
    if (reply.accepted)
        link(now, from, effects);
    else
        learn(from);
    work_out_due(now);
    return reply;
}

wire::ShuffleContacts PartialView::shuffled(Millis now, const Contact& from,
                                            const wire::ShuffleContacts& offer) {
    wire::ShuffleContacts reply;
    reply.contacts = sample(kSampleSize, from.address);
    for (const Contact& contact : offer.contacts) learn(contact);
    learn(from);
    work_out_due(now);
    return reply;
}

void PartialView::walked(Millis now, const Contact& from, const wire::ForwardJoin& walk, Effects& effects) {
    const Contact& newcomer = walk.newcomer;
    if (is_self(newcomer)) return;
    const auto next = random_neighbour(from.address, newcomer.address);
    if (walk.hops_left <= 0 || !next) {
        if (!linked(newcomer.address) && has_room() && !asking_.contains(newcomer.address))
            ask(now, newcomer, starving(), false, effects);
        learn(newcomer);
    } else {
        if (walk.hops_left == kWalkNotes) learn(newcomer);
        Outgoing call;
        call.to = *next;
        wire::ForwardJoin onward = walk;
        onward.hops_left = std::min(walk.hops_left, kWalkLength) - 1;
        call.request.__set_forward_join(onward);
        effects.calls.push_back(std::move(call));
    }
    work_out_due(now);
}

void PartialView::disconnected(Millis now, const Contact& from, Effects& effects) {
    if (linked(from.address)) unlink(from.address, effects);
    learn(from);
    seek(now, effects);
    work_out_due(now);
}

// ---- Replies
// -------------------------------------------------------------------------------------------------

void PartialView::answered(Millis now, const Contact& from, const wire::NeighbourReply& reply,
                           Effects& effects) {
    asking_.erase(from.address);
    std::erase_if(lost_, [&from](const Lost& lost) { return lost.contact.address == from.address; });
    for (const Contact& contact : reply.contacts) learn(contact);
    if (reply.accepted) {
        if (!linked(from.address) && !exempt(from) && !has_room()) evict_one(from.address, effects);
        link(now, from, effects);
    } else {
        learn(from);
        for (std::vector<Candidate>* const among : {&passive_, &controls_})
            if (const auto at = find_address(*among, from.address); at != among->end())
                put_off(*at, now, kRefusedPause, kLongestRefusedPause);
    }
    if (adrift_ && !reply.contacts.empty()) {
        adrift_ = false;
        const Contact& other = reply.contacts[below(reply.contacts.size())];
        if (!is_self(other) && !linked(other.address) && !asking_.contains(other.address))
            ask(now, other, true, false, effects);
    }
    seek(now, effects);
    work_out_due(now);
}

void PartialView::answered(Millis now, const Contact& from, const wire::ShuffleContacts& reply,
                           Effects& effects) {
    std::erase_if(lost_, [&from](const Lost& lost) { return lost.contact.address == from.address; });
    for (const Contact& contact : reply.contacts) learn(contact);
    learn(from);
    seek(now, effects);
    work_out_due(now);
}

void PartialView::failed(Millis now, const std::string& address, CallFailure, Effects& effects) {
    asking_.erase(address);
    forget_candidate(address);
    if (const auto control = find_address(controls_, address); control != controls_.end()) {
        put_off(*control, now, kControlPause, kLongestControlPause);
        // One that only others have told of, and that does not answer, makes room for others.
        const bool seed =
            std::find(options_.seeds.begin(), options_.seeds.end(), address) != options_.seeds.end();
        if (!seed && control->pause >= kLongestControlPause) controls_.erase(control);
    }
    seek(now, effects);
    work_out_due(now);
}

void PartialView::link_lost(Millis now, const std::string& address, Effects& effects) {
    const auto at = active_.find(address);
    if (at == active_.end()) return;
    const Contact contact = at->second;
    unlink(address, effects);
    forget_candidate(address);
    std::erase_if(lost_, [&address](const Lost& lost) { return lost.contact.address == address; });
    if (lost_.size() >= kMostLost) lost_.erase(lost_.begin());
    lost_.push_back({contact, now + jittered(kFirstKnock), kFirstKnock, 0});
    seek(now, effects);
    work_out_due(now);
}

void PartialView::link_doubted(Millis now, const std::string& address, Effects& effects) {
    if (!linked(address)) return;
    doubted_.insert(address);
    seek(now, effects);
    work_out_due(now);
}

void PartialView::link_denied(Millis now, const std::string& address, Effects& effects) {
    const auto at = active_.find(address);
    if (at == active_.end()) return;
    const Contact contact = at->second;
    unlink(address, effects);
    learn(contact);
    seek(now, effects);
    work_out_due(now);
}

void PartialView::adrift(Millis now) {
    adrift_ = true;
    due_ = std::min(due_, now);
}

// ---- Links
// ---------------------------------------------------------------------------------------------------

std::size_t PartialView::counted_links() const {
    return static_cast<std::size_t>(std::count_if(active_.begin(), active_.end(),
                                                  [this](const auto& link) { return !exempt(link.second); }));
}

bool PartialView::seeks() const {
    return counted_links() + asking_.size() < options_.sizes.wanted + doubted_.size();
}

void PartialView::link(Millis, const Contact& contact, Effects& effects) {
    const auto at = active_.find(contact.address);
    if (at != active_.end()) {
        if (at->second.incarnation == contact.incarnation) return;
        effects.unlinked.push_back(at->second);  // it was another process
        doubted_.erase(contact.address);
        at->second = contact;
    } else {
        active_.emplace(contact.address, contact);
    }
    effects.linked.push_back(contact);
    forget_candidate(contact.address);
    std::erase_if(lost_, [&contact](const Lost& lost) { return lost.contact.address == contact.address; });
    if (const auto control = find_address(controls_, contact.address); control != controls_.end())
        control->pause = 0;
}

void PartialView::unlink(const std::string& address, Effects& effects) {
    const auto at = active_.find(address);
    effects.unlinked.push_back(at->second);
    doubted_.erase(address);
    active_.erase(at);
}

// One that does not answer, else any but a control process, as there are few of them.
bool PartialView::evict_one(const std::string& except, Effects& effects) {
    std::vector<Contact> victims;
    for (const std::string& address : doubted_)
        if (address != except) victims.push_back(active_.at(address));
    if (victims.empty())
        for (const auto& [address, contact] : active_)
            if (!contact.control && address != except) victims.push_back(contact);
    // All far ones but one, then any.
    if (far_links() > 1 &&
        std::any_of(victims.begin(), victims.end(), [this](const Contact& each) { return !near(each); }))
        std::erase_if(victims, [this](const Contact& each) { return near(each); });
    if (victims.empty()) return false;
    const Contact victim = victims[below(victims.size())];
    unlink(victim.address, effects);
    effects.calls.push_back(disconnect_call(victim));
    learn(victim);
    return true;
}

// ---- Contacts
// ------------------------------------------------------------------------------------------------

void PartialView::learn(const Contact& contact) {
    if (contact.address.empty() || is_self(contact)) return;
    if (contact.control) learn_control(contact);
    if (linked(contact.address)) return;
    if (const auto at = find_address(passive_, contact.address); at != passive_.end()) {
        if (contact.incarnation > at->contact.incarnation) *at = {contact};
        return;
    }
    if (passive_.size() < options_.sizes.passive)
        passive_.push_back({contact});
    else
        passive_[below(passive_.size())] = {contact};
}

void PartialView::learn_control(const Contact& contact) {
    if (contact.address.empty() || is_self(contact)) return;
    if (const auto at = find_address(controls_, contact.address); at != controls_.end()) {
        if (contact.incarnation > at->contact.incarnation) at->contact = contact;
        return;
    }
    if (controls_.size() < kMostControls) {
        controls_.push_back({contact});
        return;
    }
    const auto silent = std::find_if(controls_.begin(), controls_.end(), [](const Candidate& each) {
        return each.pause >= kLongestControlPause;
    });
    if (silent != controls_.end()) *silent = {contact};
}

void PartialView::forget_candidate(const std::string& address) {
    std::erase_if(passive_, [&address](const Candidate& each) { return each.contact.address == address; });
}

std::vector<Contact> PartialView::sample(std::size_t most, const std::string& except) {
    std::vector<Contact> contacts;
    for (const auto& [address, contact] : active_)
        if (address != except) contacts.push_back(contact);
    for (const Candidate& candidate : passive_)
        if (candidate.contact.address != except) contacts.push_back(candidate.contact);
    std::shuffle(contacts.begin(), contacts.end(), random_);
    if (contacts.size() > most) contacts.resize(most);
    return contacts;
}

std::optional<Contact> PartialView::random_neighbour(const std::string& except, const std::string& or_this) {
    std::vector<const Contact*> neighbours;
    for (const auto& [address, contact] : active_)
        if (address != except && address != or_this) neighbours.push_back(&contact);
    if (neighbours.empty()) return std::nullopt;
    return *neighbours[below(neighbours.size())];
}

void PartialView::put_off(Candidate& candidate, Millis now, Millis shortest, Millis longest) {
    candidate.pause = std::clamp(candidate.pause * 2, shortest, longest);
    candidate.not_before = now + jittered(candidate.pause);
}

std::size_t PartialView::far_links() const {
    return static_cast<std::size_t>(std::count_if(active_.begin(), active_.end(),
                                                  [this](const auto& link) { return !near(link.second); }));
}

std::vector<PartialView::Candidate*> PartialView::ready(std::vector<Candidate>& among, Millis now) {
    std::vector<Candidate*> ready;
    for (Candidate& candidate : among) {
        const std::string& address = candidate.contact.address;
        if (candidate.not_before <= now && !linked(address) && !asking_.contains(address))
            ready.push_back(&candidate);
    }
    return ready;
}

// One that may be asked now, by chance; of the own zone where such a link is wanted, else of another.
PartialView::Candidate* PartialView::choose(std::vector<Candidate>& among, Millis now) {
    std::vector<Candidate*> all = ready(among, now);
    if (all.empty()) return nullptr;
    const bool wanted_near = wants_near();
    const auto preferred = std::partition(
        all.begin(), all.end(), [&](const Candidate* each) { return near(each->contact) == wanted_near; });
    if (preferred != all.begin()) all.erase(preferred, all.end());
    return all[below(all.size())];
}

// ---- What this process wants
// ---------------------------------------------------------------------------------

void PartialView::ask(Millis, const Contact& contact, bool urgent, bool joining, Effects& effects) {
    asking_.insert(contact.address);
    Outgoing call;
    call.to = contact;
    wire::NeighbourRequest request;
    request.urgent = urgent;
    request.joining = joining;
    call.request.__set_neighbour(request);
    effects.calls.push_back(std::move(call));
}

void PartialView::seek(Millis now, Effects& effects) {
    while (seeks() && asking_.size() < most_asked()) {
        if (Candidate* const candidate = choose(passive_, now)) {
            candidate->not_before = now + jittered(kRefusedPause);
            ask(now, candidate->contact, starving(), false, effects);
            continue;
        }
        // Nobody else to ask. Control processes are few: only those in need trouble them.
        if (!starving() && !passive_.empty()) break;
        Candidate* const control = choose(controls_, now);
        if (!control) break;
        control->not_before = now + jittered(kRefusedPause);
        ask(now, control->contact, starving(), true, effects);
    }
}

// A far link gives way to a near one.
void PartialView::seek_near(Millis now, Effects& effects) {
    if (!wants_near() || far_links() < 2 || asking_.size() >= most_asked()) return;
    for (Candidate* const candidate : ready(passive_, now)) {
        if (!near(candidate->contact)) continue;
        candidate->not_before = now + jittered(kRefusedPause);
        return ask(now, candidate->contact, false, false, effects);
    }
}

// Control processes hold links with each other, so that parts of the system on both sides of a cut find
// together.
void PartialView::seek_controls(Millis now, Effects& effects) {
    if (options_.self.control) {
        while (Candidate* const control = choose(controls_, now)) {
            control->not_before = now + jittered(kRefusedPause);
            ask(now, control->contact, true, true, effects);
        }
    } else if (adrift_ && asking_.size() < most_asked()) {
        Candidate* const control = choose(controls_, now);
        if (!control) return;
        control->not_before = now + jittered(kRefusedPause);
        ask(now, control->contact, true, true, effects);
    }
}

void PartialView::knock(Millis now, Effects& effects) {
    for (Lost& lost : lost_) {
        if (lost.knock_at > now) continue;
        ++lost.knocks;
        lost.pause = std::min(lost.pause * kKnockPauseGrows, kLongestKnockPause);
        lost.knock_at = now + jittered(lost.pause);
        if (asking_.contains(lost.contact.address)) continue;
        if (exempt(lost.contact) || has_room()) {
            ask(now, lost.contact, starving(), false, effects);
        } else {
            Outgoing call;
            call.to = lost.contact;
            call.request.__set_shuffle({});
            effects.calls.push_back(std::move(call));
        }
    }
    std::erase_if(lost_, [](const Lost& lost) { return lost.knocks >= kMostKnocks; });
}

void PartialView::shuffle(Millis now, Effects& effects) {
    if (shuffle_at_ == kNever) shuffle_at_ = now + jittered(kShufflePeriod);
    if (now < shuffle_at_) return;
    shuffle_at_ = now + jittered(kShufflePeriod);
    seek_near(now, effects);
    const std::vector<Contact> partner = sample(1, options_.self.address);
    if (partner.empty()) return;
    Outgoing call;
    call.to = partner.front();
    wire::ShuffleContacts offer;
    offer.contacts = sample(kSampleSize, partner.front().address);
    call.request.__set_shuffle(offer);
    effects.calls.push_back(std::move(call));
}

void PartialView::tick(Millis now, Effects& effects) {
    // Links that were in doubt and are not any more.
    while (counted_links() > options_.sizes.most + doubted_.size() && evict_one(std::string(), effects)) {
    }
    seek_controls(now, effects);
    seek(now, effects);
    knock(now, effects);
    shuffle(now, effects);
    work_out_due(now);
}

void PartialView::work_out_due(Millis now) {
    due_ = shuffle_at_ == kNever ? now : shuffle_at_;
    for (const Lost& lost : lost_) due_ = std::min(due_, lost.knock_at);
    const auto wait_for = [this](const std::vector<Candidate>& among) {
        for (const Candidate& each : among)
            if (!linked(each.contact.address) && !asking_.contains(each.contact.address))
                due_ = std::min(due_, each.not_before);
    };
    const bool seeking = seeks() && asking_.size() < most_asked();
    if (seeking) wait_for(passive_);
    if (options_.self.control || (adrift_ && asking_.size() < most_asked()) ||
        (seeking && (starving() || passive_.empty())))
        wait_for(controls_);
    due_ = std::max(due_, now);
}

}  // namespace whinledge::overlay
