#include "app/fleet.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace whinledge {

using Json = nlohmann::json;

namespace {

FleetAgent::Settings settings_of(const config::Fleet& config, std::uint64_t seed) {
    FleetAgent::Settings settings;
    settings.fleet = config.name;
    settings.self = config.self;
    settings.period = config.probe_period;
    settings.seed = seed;
    for (const config::Fleet::Member& m : config.members)
        settings.members.push_back({m.name, endpoint_of<Udp>(m.address)});
    return settings;
}

// What the system says of an address, with the address.
template <class Open>
auto opened(const config::Fleet& config, Open open) {
    try {
        return open();
    } catch (const boost::system::system_error& error) {
        throw std::runtime_error("fleet: " + config.own().address + ": " + error.code().message());
    }
}

// Milliseconds of Unix time. By the system's clock, as an event is to be found beside others' logs.
std::int64_t unix_now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Json dropped_json(const FleetAgent& agent) {
    const fleet::Dropped& d = agent.membership().dropped();
    const FleetAgent::Unread& u = agent.unread();
    return {{"strangers", agent.traffic().strangers},
            {"too_long", agent.traffic().too_long + u[static_cast<std::size_t>(fleet::Fault::too_long)]},
            {"unreadable", u[static_cast<std::size_t>(fleet::Fault::unreadable)]},
            {"version", u[static_cast<std::size_t>(fleet::Fault::version)]},
            {"fleet", u[static_cast<std::size_t>(fleet::Fault::fleet)]},
            {"out_of_bounds", u[static_cast<std::size_t>(fleet::Fault::out_of_bounds)]},
            {"flood", d.flood + agent.item_floods()},
            {"earlier_life", d.earlier_life},
            {"not_configured", d.stranger},
            {"absurd", d.absurd}};
}

}  // namespace

Fleet::Fleet(boost::asio::io_context& io, const Clock& clock, const config::Fleet& config, std::uint64_t seed)
    : io_(io),
      seed_(seed),
      agent_(opened(config,
                    [&] {
                        return FleetAgent(io, clock, settings_of(config, seed),
                                          {[this](const FleetAgent::MemberEvent& event) { tell(event); },
                                           [this](const fleet::StandingChanged& change) { tell(change); },
                                           [this](fleet::Key from, const fleet::Item& item) {
                                               if (item.subsystem == fleet::Limits::kSubsystem)
                                                   limits_.receive(from, item);
                                           }});
                    })),
      limits_(
          io, clock, seed,
          [this](fleet::Key to, const std::vector<fleet::Item>& items) { agent_.tell(to, items); },
          [this] { return absent(); }) {
    limits_.configure(fleet::key_of(config.self), config.limits, keys());
    control_ = open(config.control);
}

std::vector<fleet::Key> Fleet::keys() const {
    std::vector<fleet::Key> all;
    for (const FleetAgent::Member& member : agent_.settings().members)
        all.push_back(fleet::key_of(member.name));
    return all;
}

std::vector<fleet::Key> Fleet::absent() const {
    std::vector<fleet::Key> all;
    for (const auto& peer : agent_.membership().peers())
        // Who has never been heard of may be there: it has just been started, or we have.
        if (peer.state >= fleet::State::failed && peer.incarnation != 0) all.push_back(peer.key);
    return all;
}

std::unique_ptr<control::Server> Fleet::open(const std::string& path) {
    if (path.empty()) return nullptr;
    return std::make_unique<control::Server>(io_, path,
                                             [this](const Json& request) { return answer(request); });
}

Fleet::Change Fleet::prepare(const config::Fleet& config) {
    Change change{config, opened(config, [&] { return agent_.prepare(settings_of(config, seed_)); }),
                  nullptr};
    if (!control_ || control_->path() != config.control) change.control = open(config.control);
    return change;
}

void Fleet::adopt(Change change) {
    agent_.adopt(std::move(change.agent));
    limits_.configure(fleet::key_of(change.config.self), change.config.limits, keys());
    if (change.control || change.config.control.empty()) control_ = std::move(change.control);
}

// ---- Commands ---------------------------------------------------------------------------------------------

control::Answer Fleet::answer(const Json& request) const {
    const std::string command = request["command"];
    const bool watch = command == "fleet watch";
    if (command == "fleet members" || watch)
        return {true, "", std::make_shared<const Json>(members()), watch};
    if (command == "fleet limits") {
        const Json result{{"self", agent_.settings().self},
                          {"standing", fleet::name_of(agent_.standing())},
                          {"limits", limits_.report()}};
        return {true, "", std::make_shared<const Json>(result), false};
    }
    return {false, "no such command: " + command.substr(0, 64), nullptr, false};
}

Json Fleet::members() const {
    const fleet::Membership& m = agent_.membership();
    const Millis now = agent_.now();
    Json list = Json::array();
    for (const FleetAgent::Member& member : agent_.settings().members) {
        const fleet::Key key = fleet::key_of(member.name);
        Json one{{"name", member.name}};
        if (key == m.self()) {
            one.update({{"state", fleet::name_of(fleet::State::alive)},
                        {"incarnation", m.incarnation()},
                        {"heard_ms", 0},
                        {"draining", m.draining()}});
        } else if (const auto peer = m.peer(key)) {
            const bool heard = peer->heard_at >= 0;
            one.update({{"state", fleet::name_of(peer->state)},
                        {"incarnation", peer->incarnation},
                        {"heard_ms", heard ? std::llround(std::max(0.0, now - peer->heard_at)) : -1},
                        {"draining", peer->draining}});
        }
        list.push_back(std::move(one));
    }
    const Peers::Counts& traffic = agent_.traffic();
    return {{"self", agent_.settings().self},
            {"fleet", agent_.settings().fleet},
            {"standing", fleet::name_of(m.standing())},
            {"view", m.view()},
            {"doubt", m.doubt()},
            {"members", std::move(list)},
            {"sent", traffic.sent},
            {"sent_bytes", traffic.bytes},
            {"received", traffic.received},
            {"dropped", dropped_json(agent_)}};
}

void Fleet::tell(const FleetAgent::MemberEvent& event) {
    if (!control_) return;
    const fleet::Changed& c = event.change;
    control_->tell({{"event", "member"},
                    {"at_ms", unix_now()},
                    {"name", event.name},
                    {"from", fleet::name_of(c.from)},
                    {"to", fleet::name_of(c.to)},
                    {"incarnation", c.incarnation},
                    {"draining", c.draining}});
}

void Fleet::tell(const fleet::StandingChanged& change) {
    if (!control_) return;
    control_->tell({{"event", "standing"},
                    {"at_ms", unix_now()},
                    {"from", fleet::name_of(change.from)},
                    {"to", fleet::name_of(change.to)}});
}

}  // namespace whinledge
