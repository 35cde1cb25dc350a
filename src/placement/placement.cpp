#include "placement/placement.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace whinledge::placement {

namespace {

constexpr std::size_t kLeastHolders = 2;
constexpr std::size_t kMostCandidates = 2;
constexpr int kMostRequests = 1 << 16;  // at one server, that a load is believed to tell of
// What others tell of a beginning counts as much as so many requests of late that came through here.
constexpr double kToldRequests = 50;
constexpr double kLeastWaits = 3;   // first tokens of late, to tell how long they take
constexpr Millis kColdSpan = 5000;  // a server slow for as long or longer is as slow as one gets

double faded(Millis since, Millis now, Millis memory) { return std::exp((since - now) / memory); }

}  // namespace

bool parse_load(std::string_view text, Load& load) {
    Load read;
    for (int* const figure : {&read.running, &read.waiting, &read.slots}) {
        const auto comma = std::min(text.find(','), text.size());
        const auto [end, error] = std::from_chars(text.data(), text.data() + comma, *figure);
        if (error != std::errc{} || end != text.data() + comma || *figure < 0) return false;
        *figure = std::min(*figure, kMostRequests);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    load = read;
    return text.empty();
}

// What an estimate needs of the request, worked out once for all servers.
struct Placement::Ask {
    explicit Ask(const Request& asked) : request(asked) {}
    const Request& request;
    std::vector<PromptPart> parts;  // their ids with the model's
    std::int64_t prompt = 0;        // tokens
    std::int64_t shared = 0;        // of them in parts that other requests have too
    std::uint64_t start = 0;        // the last shared part; 0: none
    std::size_t private_from = 0;   // index of the first part that only its program has
    std::uint64_t last_holder = 0;  // rank of the last server that shares the start
    bool in_zone = false;           // those that share the start are of the own zone
    bool kept = false;              // some server keeps what the line or its program has
    const Server* home = nullptr;   // the program's, while no server keeps what the line has
    Millis home_ms = 0;             // what it is preferred by
    Millis longest_wait = 0;        // for a first token, of a server that does not hang
    double mean_others = 0;         // requests of other processes at a server
};

Placement::Placement(Settings settings)
    : settings_(std::move(settings)), starts_([this] {
          StartRates::Options options;
          options.memory = settings_.traffic_memory_ms;
          return options;
      }()) {}

// ---- The list -------------------------------------------------------------------------------------------

void Placement::set_servers(const std::vector<ListedServer>& servers, Millis now) {
    std::vector<Server> next;
    std::unordered_map<std::string, std::size_t> places;
    for (const ListedServer& listed : servers) {
        if (!places.try_emplace(listed.id, next.size()).second) continue;
        Server* const known = find(listed.id);
        next.push_back(known ? std::move(*known) : Server{});
        next.back().listed = listed;
        next.back().hash = name_hash(listed.id);
        next.back().listed_at = now;
    }
    servers_ = std::move(next);
    places_ = std::move(places);
    index_keys();
}

void Placement::index_keys() {
    by_key_.clear();
    near_keys_.keys.clear();
    far_keys_.keys.clear();
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        const std::uint32_t key = key_of(servers_[i]);
        by_key_.emplace(key, i);
        if (!servers_[i].listed.draining) (is_near(servers_[i]) ? near_keys_ : far_keys_).keys.push_back(key);
    }
}

Placement::Server* Placement::find(std::string_view id) {
    const auto at = places_.find(std::string(id));
    return at == places_.end() ? nullptr : &servers_[at->second];
}

int Placement::slots_of(const Server& server) const {
    if (server.told_slots > 0) return server.told_slots;
    return std::max(1, server.listed.slots > 0 ? server.listed.slots : settings_.slots);
}

Millis Placement::cold_left(const Server& server, Millis now) const {
    return std::max(0.0, server.listed.cold_left_ms - (now - server.listed_at));
}

// ---- What happens ---------------------------------------------------------------------------------------

void Placement::sent(SendId id, std::string_view server_id, const Request& request, Millis now) {
    Server* const server = find(server_id);
    if (!server) return;
    const Ask asked = ask(request, now);
    Send send;
    send.server = server_id;
    send.at = now;
    send.unread = std::max<std::int64_t>(0, asked.prompt - server->kept.kept(asked.parts));
    for (const PromptPart& part : asked.parts)
        if (!server->kept.holds(part.id)) send.fresh.push_back(part.id);
    send.server_key = key_of(*server);
    if (!sends_.try_emplace(id, send).second) return;
    ++server->out;
    ++own_[key_of(*server)];
    server->unbegun.push_back(now);
    server->unread += send.unread;
    // Of a memory that others use too, ours may be pushed out sooner. It is believed to be there all the
    // same: where it is not it is read anew, as it would be at any other server.
    server->kept.set_limit(settings_.memory_tokens);
    server->kept.use(asked.parts);
}

void Placement::began(SendId id, Millis now) {
    const auto at = sends_.find(id);
    if (at == sends_.end()) return;
    Send& send = at->second;
    if (!send.begun) {
        waited_.add(now - send.at, now, settings_.traffic_memory_ms);
        waits_.add(1, now, settings_.traffic_memory_ms);
    }
    const std::int64_t read = std::exchange(send.unread, 0);
    Server* const server = find(send.server);
    if (!server) return;
    server->unread = std::max<std::int64_t>(0, server->unread - read);
    note_begun(*server, send);
}

void Placement::note_begun(Server& server, Send& send) {
    if (std::exchange(send.begun, true)) return;
    const auto at = std::find(server.unbegun.begin(), server.unbegun.end(), send.at);
    if (at != server.unbegun.end()) server.unbegun.erase(at);
}

// Infinite while nothing has begun yet: it says nothing of any one server.
Millis Placement::longest_wait(Millis now) const {
    const Millis memory = settings_.traffic_memory_ms;
    const double waits = waits_.at_time(now, memory);
    if (waits < kLeastWaits) return std::numeric_limits<Millis>::infinity();
    const Millis mean = waited_.at_time(now, memory) / waits;
    return std::max(settings_.least_silence_ms, settings_.silence_multiple * mean);
}

bool Placement::is_overdue(SendId id, Millis now) const {
    const auto at = sends_.find(id);
    return at != sends_.end() && !at->second.begun && now - at->second.at > longest_wait(now);
}

void Placement::ended(SendId id, bool ran, Millis now) {
    const auto at = sends_.find(id);
    if (at == sends_.end()) return;
    Send send = std::move(at->second);
    sends_.erase(at);
    if (const auto own = own_.find(send.server_key); own != own_.end() && --own->second <= 0) own_.erase(own);
    if (ran) {
        lasted_.add(now - send.at, now, settings_.traffic_memory_ms);
        lasts_.add(1, now, settings_.traffic_memory_ms);
    }
    Server* const server = find(send.server);
    if (!server) return;
    note_begun(*server, send);
    release(*server, send);
    if (!ran)
        for (const std::uint64_t part : send.fresh) server->kept.forget(part);
}

void Placement::release(Server& server, const Send& send) {
    server.out = std::max(0, server.out - 1);
    server.unread = std::max<std::int64_t>(0, server.unread - send.unread);
}

void Placement::load_seen(std::string_view id, const Load& load, Millis now) {
    Server* const server = find(id);
    if (!server || !settings_.mechanisms.told_load) return;
    server->told_slots = load.slots;
    server->others = std::max(0, load.running + load.waiting - server->out);
    server->load_at = now;
    others_.add(server->others, now, settings_.traffic_memory_ms);
    loads_.add(1, now, settings_.traffic_memory_ms);
}

std::vector<Placement::ServerRequests> Placement::own_requests() const {
    std::vector<ServerRequests> own;
    own.reserve(own_.size());
    for (const auto& [server, requests] : own_) own.push_back({server, requests});
    return own;
}

std::vector<std::uint32_t> Placement::servers_to_ask(std::size_t most) {
    std::vector<std::uint32_t> asked;
    asked.reserve(std::min(most, near_keys_.keys.size() + far_keys_.keys.size()));
    for (KeysInTurn* const zone : {&near_keys_, &far_keys_}) {
        const std::size_t wanted = std::min(most - asked.size(), zone->keys.size());
        for (std::size_t i = 0; i < wanted; ++i) asked.push_back(zone->take());
    }
    return asked;
}

std::uint32_t Placement::KeysInTurn::take() {
    next = next < keys.size() ? next : 0;
    return keys[next++];
}

void Placement::others_told(const std::vector<ServerRequests>& at_servers, Millis age, Millis now) {
    if (!settings_.mechanisms.told_load) return;
    double sum = 0, count = 0;
    for (const ServerRequests& told : at_servers) {
        if (!by_key_.contains(told.server)) continue;
        sum += std::max(0, told.requests);
        ++count;
    }
    if (count == 0) return;
    others_.add(sum, now, settings_.traffic_memory_ms);
    loads_.add(count, now, settings_.traffic_memory_ms);
    const double mean = mean_others(now);
    const double trust = std::exp(-std::max(0.0, age) / settings_.told_age_ms);
    for (const ServerRequests& told : at_servers) {
        const auto at = by_key_.find(told.server);
        if (at == by_key_.end()) continue;
        Server& server = servers_[at->second];
        server.others = mean + (std::max(0, told.requests) - mean) * trust;
        server.load_at = now;
    }
}

// ---- What a request costs -------------------------------------------------------------------------------

Millis Placement::idle_ms(const Request& request) const {
    return static_cast<double>(request.tokens.prompt) / settings_.prefill_tokens_per_ms +
           static_cast<double>(request.tokens.most_out) * settings_.step_ms;
}

Placement::Ask Placement::ask(const Request& request, Millis now) const {
    Ask ask(request);
    ask.parts.reserve(request.parts.size());
    std::int64_t told = 0;
    for (const PromptPart& part : request.parts) {
        if (settings_.mechanisms.kept_parts)
            ask.parts.push_back({mixed(part.id, request.model), part.tokens});
        told += part.tokens;
    }
    ask.prompt = std::max(request.tokens.prompt, told);
    if (ask.parts.size() > 1) {
        const std::size_t start = start_of(ask.parts, request.continues);
        for (std::size_t i = 0; i <= start; ++i) ask.shared += ask.parts[i].tokens;
        ask.start = ask.parts[start].id;
        ask.private_from = start + 1;
        const Takers takers = this->takers();
        ask.in_zone = takers.in_zone;
        ask.last_holder = last_holder(ask.start, takers.hashes, now);
    }
    ask.longest_wait = longest_wait(now);
    ask.mean_others = mean_others(now);
    ask.kept = is_kept(ask);
    if (!ask.kept) ask.home = home(ask);
    if (ask.home) ask.home_ms = settings_.home_ms;
    if (ask.home && request.continues)
        ask.home_ms += settings_.home_trust * static_cast<double>(ask.prompt - ask.shared) /
                       settings_.prefill_tokens_per_ms;
    return ask;
}

// The last part that several programs have. Where none is known to be, the last but one; of a line with
// earlier turns the first, as the others are what was said in it: another one would be taken for its start
// each turn.
std::size_t Placement::start_of(const std::vector<PromptPart>& parts, bool continues) const {
    for (std::size_t i = parts.size() - 1; i-- > 0;)
        if (starts_.is_shared(parts[i].id) || told_.contains(parts[i].id)) return i;
    return continues ? 0 : parts.size() - 2;
}

bool Placement::is_kept(const Ask& ask) const {
    return std::any_of(servers_.begin(), servers_.end(), [&](const Server& server) {
        if (server.listed.draining) return false;
        for (std::size_t i = ask.private_from; i < ask.parts.size(); ++i)
            if (server.kept.holds(ask.parts[i].id)) return true;
        return false;
    });
}

// All processes of a zone choose the same among the start's holders there; null: the request is of no
// program.
const Placement::Server* Placement::home(const Ask& ask) const {
    const std::uint64_t key = ask.request.program ? ask.request.program : ask.request.line;
    if (!key || !settings_.mechanisms.homes) return nullptr;
    const Server* home = nullptr;
    const auto before = [&](const Server& a, const Server& b) {
        if (is_near(a) != is_near(b)) return is_near(a);
        return mixed(key, a.hash) > mixed(key, b.hash);
    };
    for (const Server& server : servers_)
        if (!server.listed.draining && is_holder(server, ask) && (!home || before(server, *home)))
            home = &server;
    return home;
}

bool Placement::is_near(const Server& server) const {
    return settings_.zone.empty() || server.listed.zone == settings_.zone;
}

bool Placement::is_holder(const Server& server, const Ask& ask) const {
    if (!ask.start || !settings_.mechanisms.holders) return true;
    return mixed(ask.start, server.hash) >= ask.last_holder && (is_near(server) || !ask.in_zone);
}

// Those that take something new, of the own zone where it has any: what is shared there is read once more in
// each zone, rather than all that builds on it crossing each time.
Placement::Takers Placement::takers() const {
    std::vector<std::uint64_t> near, all;
    for (const Server& server : servers_) {
        if (server.listed.draining) continue;
        all.push_back(server.hash);
        if (is_near(server)) near.push_back(server.hash);
    }
    if (near.empty()) return {std::move(all), false};
    return {std::move(near), true};
}

std::uint64_t Placement::last_holder(std::uint64_t start, const std::vector<std::uint64_t>& takers,
                                     Millis now) const {
    std::vector<std::uint64_t> ranks;
    ranks.reserve(takers.size());
    for (const std::uint64_t server : takers) ranks.push_back(mixed(start, server));
    const std::size_t count = std::min(holders(start, ranks.size(), now), ranks.size());
    if (count == 0) return 0;
    const auto last = ranks.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(ranks.begin(), last, ranks.end(), std::greater<>{});
    return *last;
}

// How many of so many servers share a start: as many as its part of the traffic would fill, and more. Every
// process of a zone sees about the same traffic, so all of them have about the same servers.
std::size_t Placement::holders(std::uint64_t start, std::size_t among, Millis now) const {
    StartRates::Prior prior;
    if (const auto told = told_.find(start); told != told_.end()) prior = {kToldRequests, told->second};
    const double share = starts_.share(start, prior, now);
    const double filled = std::ceil(settings_.spread * share * static_cast<double>(among));
    return std::max(kLeastHolders, static_cast<std::size_t>(filled));
}

double Placement::mean_others(Millis now) const {
    const Millis memory = settings_.traffic_memory_ms;
    const double loads = loads_.at_time(now, memory);
    return loads > 0 ? others_.at_time(now, memory) / loads : 0;
}

double Placement::others_at(const Server& server, double mean, Millis now) const {
    if (server.load_at < 0) return mean;
    return mean + (server.others - mean) * faded(server.load_at, now, settings_.load_memory_ms);
}

Estimate Placement::estimate(const Server& server, const Ask& ask, Millis now) const {
    const double others = others_at(server, ask.mean_others, now), busy = others + server.out,
                 slots = slots_of(server);
    const Mechanisms& mechanisms = settings_.mechanisms;
    const std::int64_t kept = server.kept.kept(ask.parts);
    const auto out = static_cast<double>(ask.request.tokens.most_out);
    Estimate e;
    e.server = server.listed.id;
    e.server_hash = server.hash;
    e.prefill = static_cast<double>(ask.prompt - kept + server.unread) / settings_.prefill_tokens_per_ms;
    const double crowd = mechanisms.crowding ? std::min(1.0, busy / slots) : 0;
    e.decode = out * (settings_.step_ms + settings_.crowded_step_ms * crowd);
    if (mechanisms.cold) {
        const double cold = std::min(1.0, cold_left(server, now) / kColdSpan) * settings_.cold_slowdown;
        e.prefill *= 1 + cold, e.decode *= 1 + cold;
    }
    if (mechanisms.queue) e.queue = queue_ms(server, busy);
    if (!is_near(server) && mechanisms.crossing)
        e.crossing = settings_.crossing_ms +
                     settings_.crossing_ms_per_kilobyte * static_cast<double>(ask.request.bytes) / 1000;
    if (mechanisms.silence && !server.unbegun.empty() && now - server.unbegun.front() > ask.longest_wait)
        e.silence = settings_.silence_cost_ms;
    e.due = due_ms(server, ask, kept);
    e.strayed = strayed_ms(server, ask, kept);
    e.saved = static_cast<double>(kept) / settings_.prefill_tokens_per_ms - e.crossing;
    if (&server == ask.home) e.saved += ask.home_ms;
    return e;
}

// What a holder of the start has not read yet it is to read once, so this is no cost of one request: all of
// them come to hold it, and after a restart of this process, which has forgotten what they keep, they still
// do.
Millis Placement::due_ms(const Server& server, const Ask& ask, std::int64_t kept) const {
    if (ask.kept || !ask.start || !is_holder(server, ask)) return 0;
    return static_cast<double>(std::max<std::int64_t>(0, ask.shared - kept)) /
           settings_.prefill_tokens_per_ms;
}

// Of what is ahead of it, a slot's part at a time.
Millis Placement::queue_ms(const Server& server, double busy) const {
    const double slots = slots_of(server);
    if (busy < slots) return 0;
    const double mean = lasts_.value > 0 ? lasted_.value / lasts_.value : settings_.step_ms * 100;
    return (busy - slots + 1) * mean / slots;
}

Millis Placement::strayed_ms(const Server& server, const Ask& ask, std::int64_t kept) const {
    Millis cost = 0;
    if (!is_holder(server, ask))
        cost += settings_.copy_price * static_cast<double>(std::max<std::int64_t>(0, ask.shared - kept)) /
                settings_.prefill_tokens_per_ms;
    if (ask.home && &server != ask.home) cost += ask.home_ms;
    return cost;
}

std::vector<Estimate> Placement::estimates(const Request& request, Millis now) const {
    const Ask asked = ask(request, now);
    std::vector<Estimate> all;
    all.reserve(servers_.size());
    for (const Server& server : servers_)
        if (!server.listed.draining) all.push_back(estimate(server, asked, now));
    return all;
}

// ---- Who is worth it ------------------------------------------------------------------------------------

void Placement::count(const Request& request, Millis now) {
    std::vector<PromptPart> starts;
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
        tokens += request.parts[i].tokens;
        starts.push_back({mixed(request.parts[i].id, request.model), tokens});
    }
    starts_.count(starts, request.program, now);
}

void Placement::set_told_starts(std::vector<ToldStart> starts) {
    told_.clear();
    for (const ToldStart& start : starts) told_.emplace(start.id, std::clamp(start.share, 0.0, 1.0));
}

std::vector<std::string> Placement::candidates(const Request& request, Millis now) {
    count(request, now);
    if (!settings_.mechanisms.candidates) return {};
    if (request.tokens == TokenCount{} && request.parts.empty()) return {};
    std::vector<Estimate> all = estimates(request, now);
    if (all.empty()) return {};
    // Of two that cost the same the order is another for each request, and the same in every process.
    const std::uint64_t own = request.parts.empty() ? request.line : request.parts.back().id;
    const auto cheaper = [&](const Estimate& a, const Estimate& b) {
        if (a.total() != b.total()) return a.total() < b.total();
        return mixed(own, a.server_hash) > mixed(own, b.server_hash);
    };
    const std::size_t ranked = std::min(all.size(), kMostCandidates);
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(ranked), all.end(), cheaper);
    std::vector<std::string> worth_it{std::string(all.front().server)};
    const bool evens_out = ranked > 1 && all[0].saved - all[1].saved <= settings_.sole_ms;
    if (evens_out) worth_it.emplace_back(all[1].server);
    return worth_it;
}

}  // namespace whinledge::placement
