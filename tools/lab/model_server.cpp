#include "lab/model_server.hpp"

#include <algorithm>
#include <limits>

namespace whinledge::lab {

Verdict ModelServer::submit(const ModelRequest& request, Millis now) {
    if (request.prompt + request.out > settings_.memory_tokens) return Verdict::too_large;
    const auto places = static_cast<std::size_t>(settings_.slots) + static_cast<std::size_t>(settings_.queue);
    if (requests_.size() >= places) return Verdict::full;
    Open& open = requests_[request.id];
    open.request = request;
    open.order = next_order_++;
    waiting_.emplace(Key{request.priority, open.order}, request.id);
    if (!stepping_) begin_step(now);
    return Verdict::accepted;
}

void ModelServer::cancel(std::uint64_t request, Millis) {
    const auto at = requests_.find(request);
    if (at == requests_.end()) return;
    const Key key{at->second.request.priority, at->second.order};
    release(at->second);
    waiting_.erase(key);
    inside_.erase(key);
    requests_.erase(at);
}

Millis ModelServer::next() const {
    return stepping_ && !frozen_ ? ends_ : std::numeric_limits<Millis>::infinity();
}

void ModelServer::set_frozen(bool frozen, Millis now) {
    if (frozen == frozen_) return;
    frozen_ = frozen;
    if (frozen)
        left_ = std::max(0.0, ends_ - now);
    else
        ends_ = now + left_;
}

void ModelServer::advance(Millis now, std::vector<ModelEvent>& events) {
    while (next() <= now) {
        const Millis end = ends_;
        stepping_ = false;
        end_step(events);
        begin_step(end);
    }
    events.insert(events.end(), told_.begin(), told_.end());
    told_.clear();
}

placement::Load ModelServer::load() const {
    return {static_cast<int>(inside_.size()), static_cast<int>(waiting_.size()), settings_.slots};
}

std::int64_t ModelServer::kept(const std::vector<PromptPart>& parts) const {
    std::int64_t tokens = 0;
    for (const PromptPart& part : parts) {
        if (!parts_.contains(part.id)) break;
        tokens += part.tokens;
    }
    return tokens;
}

// ---- Steps ----------------------------------------------------------------------------------------------

void ModelServer::begin_step(Millis now) {
    make_room_for_tokens();
    let_in();
    if (inside_.empty()) return;
    plan_pieces();
    std::int64_t pieces = 0;
    int running = 0;
    for (const auto& [key, id] : inside_) {
        const Open& open = requests_.at(id);
        pieces += open.piece;
        running += open.state == State::running;
    }
    const Millis lasts = settings_.step_ms + settings_.step_ms_per_running * running +
                         static_cast<double>(pieces) / settings_.prefill_tokens_per_ms;
    stepping_ = true;
    ends_ = now + lasts * settings_.slowness * slowdown_;
    left_ = ends_ - now;  // if it is frozen
}

// Each running request needs a place for its next token; where there is none, somebody is preempted.
void ModelServer::make_room_for_tokens() {
    const auto running = [this] {
        return std::count_if(inside_.begin(), inside_.end(), [this](const auto& entry) {
            return requests_.at(entry.second).state == State::running;
        });
    };
    while (true) {
        promised_ = running();
        if (make_room(0)) return;
        Open* const open = least_urgent();
        if (!open) return;
        preempt(*open);
    }
}

// The newest among the least urgent.
ModelServer::Open* ModelServer::least_urgent() {
    return inside_.empty() ? nullptr : &requests_.at(std::prev(inside_.end())->second);
}

void ModelServer::preempt(Open& open) {
    if (open.state == State::running) promised_ = std::max<std::int64_t>(0, promised_ - 1);
    told_.push_back({ModelEvent::Kind::preempted, open.request.id, 0, open.position});
    open.read_once = std::max(open.read_once, open.position);
    release(open);
    open.state = State::waiting;
    const Key key{open.request.priority, open.order};
    inside_.erase(key);
    waiting_.emplace(key, open.request.id);
}

// The most urgent first. One that doesn't fit holds up those behind it, or it would never fit.
void ModelServer::let_in() {
    while (!waiting_.empty()) {
        const auto [key, id] = *waiting_.begin();
        Open& open = requests_.at(id);
        const bool has_slot = inside_.size() < static_cast<std::size_t>(settings_.slots);
        if (has_slot && start(open)) {
            waiting_.erase(key);
            inside_.emplace(key, id);
            continue;
        }
        Open* const other = least_urgent();
        if (!settings_.urgent_takes_place || !other || other->request.priority <= key.first) return;
        preempt(*other);
    }
}

// Takes memory for all that it has to read and its next token; false: there is not so much.
bool ModelServer::start(Open& open) {
    for (const PromptPart& part : open.request.parts) {
        if (!parts_.contains(part.id)) break;
        pin(part);
        ++open.pinned;
        open.position += part.tokens;
    }
    const std::int64_t needs = open.to_read() - open.position + 1;
    if (!make_room(needs)) {
        release(open);
        return false;
    }
    open.own = needs;
    own_ += needs;
    open.state = State::reading;
    return true;
}

// Where the part that is being read ends, in tokens of the prompt; what follows the parts is its own.
std::int64_t ModelServer::part_end(const Open& open) const {
    std::int64_t end = 0;
    for (std::size_t i = 0; i <= open.pinned && i < open.request.parts.size(); ++i)
        end += open.request.parts[i].tokens;
    return open.pinned < open.request.parts.size() ? end : open.to_read();
}

// Another request has read the part that is next here.
bool ModelServer::pass_kept_part(Open& open) {
    if (open.pinned >= open.request.parts.size()) return false;
    const PromptPart& part = open.request.parts[open.pinned];
    if (!parts_.contains(part.id) || open.position != part_end(open) - part.tokens) return false;
    pin(part);
    ++open.pinned;
    open.position += part.tokens;
    open.own -= part.tokens;
    own_ -= part.tokens;
    return true;
}

void ModelServer::plan_pieces() {
    std::int64_t left = settings_.prefill_tokens_per_step;
    for (const auto& [key, id] : inside_) {
        Open& open = requests_.at(id);
        open.piece = 0;
        if (open.state != State::reading) continue;
        while (pass_kept_part(open)) {
        }
        open.piece = std::min(left, open.to_read() - open.position);
        left -= open.piece;
    }
}

void ModelServer::end_step(std::vector<ModelEvent>& events) {
    std::vector<std::uint64_t> ids;
    for (const auto& [key, id] : inside_) ids.push_back(id);
    for (const std::uint64_t id : ids) {
        Open& open = requests_.at(id);
        if (open.state == State::running) {
            ++open.own;
            ++own_;
            put_out(open, events);
            continue;
        }
        read_piece(open, events);
        if (open.position < open.to_read()) continue;
        open.state = State::running;  // the place for this token was taken as it was let in
        put_out(open, events);
    }
}

void ModelServer::read_piece(Open& open, std::vector<ModelEvent>& events) {
    std::int64_t in_parts = 0;
    for (const PromptPart& part : open.request.parts) in_parts += part.tokens;
    const std::int64_t again =
        std::min(open.position + open.piece, open.read_once) - std::max(open.position, in_parts);
    if (again > 0) events.push_back({ModelEvent::Kind::read_again, open.request.id, 0, again});
    tokens_read_ += open.piece;
    open.position += open.piece;
    open.piece = 0;
    while (open.pinned < open.request.parts.size() && open.position >= part_end(open)) {
        const PromptPart part = open.request.parts[open.pinned];
        events.push_back({ModelEvent::Kind::part_read, open.request.id, part.id, part.tokens});
        open.own -= part.tokens;
        own_ -= part.tokens;
        if (parts_.contains(part.id))  // another has read it meanwhile
            pin(part);
        else
            keep(part, 1);
        ++open.pinned;
    }
}

void ModelServer::put_out(Open& open, std::vector<ModelEvent>& events) {
    ++open.put_out;
    ++open.position;
    events.push_back({ModelEvent::Kind::token, open.request.id, 0, 1});
    if (open.put_out >= open.request.out) finish(open, events);
}

void ModelServer::finish(Open& open, std::vector<ModelEvent>& events) {
    const ModelRequest request = open.request;
    const bool keeps = request.output_part != 0 && open.pinned == request.parts.size();
    events.push_back({ModelEvent::Kind::done, request.id, keeps ? request.output_part : 0, 0});
    inside_.erase({request.priority, open.order});
    // First, so that it counts as used before the parts that it builds on, and gives way before them.
    if (keeps && !parts_.contains(request.output_part)) keep({request.output_part, request.out}, 0);
    release(open);
    requests_.erase(request.id);
}

// ---- Memory ---------------------------------------------------------------------------------------------

// Gives back all that it holds. The last of its parts is let go first, so that it gives way first.
void ModelServer::release(Open& open) {
    while (open.pinned > 0) unpin(open.request.parts[--open.pinned].id);
    own_ -= open.own;
    open.own = 0;
    open.position = 0;
    open.piece = 0;
}

void ModelServer::pin(const PromptPart& part) {
    KeptPart& kept = parts_.at(part.id);
    if (kept.holders++ == 0) pinned_ += kept.tokens;
}

void ModelServer::unpin(std::uint64_t part) {
    KeptPart& kept = parts_.at(part);
    uses_.splice(uses_.begin(), uses_, kept.use);
    if (--kept.holders == 0) pinned_ -= kept.tokens;
}

void ModelServer::keep(const PromptPart& part, int holders) {
    uses_.push_front(part.id);
    parts_[part.id] = {part.tokens, holders, uses_.begin()};
    kept_ += part.tokens;
    if (holders > 0) pinned_ += part.tokens;
}

// Kept parts that nobody holds give way, the least recently used first. False, with nothing changed: it would
// not do.
bool ModelServer::make_room(std::int64_t tokens) {
    tokens += promised_;
    if (own_ + pinned_ + tokens > settings_.memory_tokens) return false;
    auto at = uses_.end();
    while (own_ + kept_ + tokens > settings_.memory_tokens && at != uses_.begin()) {
        --at;
        const auto part = parts_.find(*at);
        if (part->second.holders > 0) continue;
        kept_ -= part->second.tokens;
        parts_.erase(part);
        at = uses_.erase(at);
    }
    return true;
}

}  // namespace whinledge::lab
