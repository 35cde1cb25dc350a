#include "peers/fleet_agent.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace whinledge {

namespace {

std::string about(const std::string& name, const fleet::Changed& c) {
    std::string line = "fleet: " + name + " ";
    line.append(fleet::name_of(c.from)).append(" -> ").append(fleet::name_of(c.to));
    line += " (incarnation " + std::to_string(c.incarnation) + (c.draining ? ", draining)" : ")");
    return line;
}

// Items alone, and none of membership's own.
bool is_of_others(const fleet::Datagram& d) {
    return d.kind == fleet::Kind::news && d.rumours.empty() && !d.items.empty() &&
           std::all_of(d.items.begin(), d.items.end(), [](const auto& i) { return i.subsystem != 0; });
}

}  // namespace

const FleetAgent::Member& FleetAgent::Settings::own() const {
    const auto at =
        std::find_if(members.begin(), members.end(), [&](const Member& m) { return m.name == self; });
    if (at == members.end()) throw std::invalid_argument("fleet: '" + self + "' is none of the members");
    return *at;
}

FleetAgent::FleetAgent(boost::asio::io_context& io, const Clock& clock, Settings settings, Listener listener)
    : io_(io),
      clock_(clock),
      settings_(std::move(settings)),
      listener_(std::move(listener)),
      peers_(open(settings_)),
      wake_(io, clock, [this] { tick(); }) {
    index();
    peers_->replace(addresses());
    begin(clock_.now());
}

FleetAgent::~FleetAgent() = default;

std::unique_ptr<Peers> FleetAgent::open(const Settings& settings) {
    return std::make_unique<Peers>(
        io_, log_, settings.own().address, std::vector<Udp::endpoint>{}, std::nullopt,
        [this](std::uint32_t from, const std::vector<std::uint8_t>& bytes) { received(from, bytes); });
}

void FleetAgent::index() {
    by_key_.clear();
    allowances_.assign(settings_.members.size(), {});
    for (std::uint32_t i = 0; i < settings_.members.size(); ++i)
        by_key_.emplace(fleet::key_of(settings_.members[i].name), i);
}

std::vector<Udp::endpoint> FleetAgent::addresses() const {
    std::vector<Udp::endpoint> all;
    for (const Member& member : settings_.members) all.push_back(member.address);
    return all;
}

// A new life. Two that begin within a millisecond, by reloads, still follow one another.
void FleetAgent::begin(Millis now) {
    fleet::MembershipSettings s;
    s.fleet = fleet::key_of(settings_.fleet);
    s.self = fleet::key_of(settings_.self);
    s.born = last_life_ = std::max(last_life_ + 1, static_cast<fleet::Incarnation>(now));
    s.period = settings_.period;
    s.seed = settings_.seed;
    for (const Member& member : settings_.members) s.members.push_back(fleet::key_of(member.name));
    membership_.emplace(s);
    left_ = false;
    wake_.at(membership_->due());
}

const std::string& FleetAgent::name_of(fleet::Key key) const {
    return settings_.members.at(by_key_.at(key)).name;
}

// ---- Other settings ---------------------------------------------------------------------------------------

FleetAgent::Change FleetAgent::prepare(Settings settings) {
    std::unique_ptr<Peers> peers;
    if (settings.own().address != peers_->address()) peers = open(settings);
    return {std::move(settings), std::move(peers)};
}

void FleetAgent::adopt(Change change) {
    const bool goes_on = settings_.same_life(change.settings) && !left_;
    const bool draining = membership_->draining();
    if (!goes_on) {
        leave();
        last_life_ = membership_->incarnation();
    }
    settings_ = std::move(change.settings);
    index();
    if (change.peers) peers_ = std::move(change.peers);
    peers_->replace(addresses());
    if (!goes_on) {
        begin(clock_.now());
        if (draining) set_draining(true);
        return;
    }
    std::vector<fleet::Key> keys;
    for (const Member& member : settings_.members) keys.push_back(fleet::key_of(member.name));
    fleet::FleetActions actions;
    membership_->configure(clock_.now(), keys, actions);
    carry_out(actions);
}

void FleetAgent::set_draining(bool draining) {
    fleet::FleetActions actions;
    membership_->set_draining(clock_.now(), draining, actions);
    carry_out(actions);
}

void FleetAgent::leave() {
    if (std::exchange(left_, true)) return;
    fleet::FleetActions actions;
    membership_->leave(clock_.now(), actions);
    carry_out(actions);
}

// ---- Events -----------------------------------------------------------------------------------------------

void FleetAgent::tick() {
    if (left_) return;
    try {
        const Millis now = clock_.now();
        fleet::FleetActions actions;
        if (now >= membership_->due()) membership_->tick(now, actions);
        carry_out(actions);
    } catch (...) {  // what was to be sent is lost, as datagrams may be; the rounds go on
        wake_.at(membership_->due());
        throw;
    }
}

// A datagram counts as a member's only from the address that is configured for it.
void FleetAgent::received(std::uint32_t from, const std::vector<std::uint8_t>& bytes) {
    if (left_) return;
    const fleet::Decoded read = fleet::decode(bytes, fleet::key_of(settings_.fleet));
    if (!read.datagram) {
        ++unread_[static_cast<std::size_t>(read.fault)];
        return;
    }
    const auto sender = by_key_.find(read.datagram->from);
    if (sender == by_key_.end() || sender->second != from) {
        ++unread_[static_cast<std::size_t>(fleet::Fault::out_of_bounds)];
        return;
    }
    if (is_of_others(*read.datagram)) return hear_items(from, *read.datagram);
    fleet::FleetActions actions;
    membership_->receive(clock_.now(), *read.datagram, actions);
    carry_out(actions);
}

// Bounded by the second, as what is said there is paced so, while membership counts in its own period:
// neither uses up what the other may say.
void FleetAgent::hear_items(std::uint32_t from, const fleet::Datagram& d) {
    Allowance& allowance = allowances_[from];
    const Millis now = clock_.now();
    allowance.left = std::min(kItemsAtOnce, allowance.left + (now - allowance.at) * kItemsEachSecond / 1000);
    allowance.at = now;
    if (allowance.left < 1) {
        ++item_floods_;
        return;
    }
    allowance.left -= 1;
    for (const fleet::Item& item : d.items)
        if (listener_.item) listener_.item(d.from, item);
}

void FleetAgent::tell(fleet::Key to, const std::vector<fleet::Item>& items) {
    const auto at = by_key_.find(to);
    if (left_ || at == by_key_.end()) return;
    fleet::Datagram d;
    d.fleet = fleet::key_of(settings_.fleet);
    d.from = membership_->self();
    d.incarnation = membership_->incarnation();
    d.draining = membership_->draining();
    d.kind = fleet::Kind::news;
    d.view = membership_->view();
    for (const fleet::Item& item : items) {
        if (fleet::size_of(item) > fleet::room_in(d)) {
            peers_->tell(at->second, fleet::encode(d));
            d.items.clear();
        }
        d.items.push_back(item);
    }
    if (!d.items.empty()) peers_->tell(at->second, fleet::encode(d));
}

void FleetAgent::carry_out(const fleet::FleetActions& actions) {
    for (const fleet::FleetAction& action : actions) {
        if (const auto* const one = std::get_if<fleet::Tell>(&action)) {
            tell(*one);
        } else if (const auto* const change = std::get_if<fleet::Changed>(&action)) {
            say(*change);
        } else if (const auto* const standing = std::get_if<fleet::StandingChanged>(&action)) {
            log_.line(std::string("fleet: standing ")
                          .append(fleet::name_of(standing->from))
                          .append(" -> ")
                          .append(fleet::name_of(standing->to)));
            if (listener_.standing) listener_.standing(*standing);
        } else {
            log_.line("fleet: another process speaks as " + settings_.self + " (incarnation " +
                      std::to_string(std::get<fleet::Disputed>(action).theirs) + ")");
        }
    }
    wake_.at(membership_->due());
}

void FleetAgent::tell(const fleet::Tell& tell) {
    const auto to = by_key_.find(tell.to);
    if (to == by_key_.end()) return;
    const std::vector<std::uint8_t> bytes = fleet::encode(tell.datagram);
    peers_->tell(to->second, bytes);
}

void FleetAgent::say(const fleet::Changed& change) {
    const auto at = by_key_.find(change.about);
    if (at == by_key_.end()) return;
    const std::string& name = settings_.members[at->second].name;
    if (change.from != change.to) log_.line(about(name, change));
    if (listener_.member) listener_.member({name, change});
}

}  // namespace whinledge
