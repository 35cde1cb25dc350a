// This process as a member of its fleet: membership (src/fleet) over sockets and on the program's clock.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/membership.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"
#include "io/wake.hpp"
#include "peers/peers.hpp"

namespace whinledge {

// All calls on the loop's thread.
class FleetAgent {
public:
    struct Member {
        std::string name;
        Udp::endpoint address;
        bool operator==(const Member&) const = default;
    };
    struct Settings {
        std::string fleet, self;
        Millis period = 1000;         // P
        std::vector<Member> members;  // self among them; no name, key or address twice
        std::uint64_t seed = 1;
        // The same member in the same life may go on under these settings.
        bool same_life(const Settings& other) const {
            return fleet == other.fleet && self == other.self && period == other.period;
        }
        const Member& own() const;
    };
    // What others of the program are told, after it holds. Neither may destroy the agent.
    struct MemberEvent {
        const std::string& name;
        const fleet::Changed& change;
    };
    struct Listener {
        std::function<void(const MemberEvent&)> member;
        std::function<void(const fleet::StandingChanged&)> standing;
        // What another subsystem of a member says.
        std::function<void(fleet::Key from, const fleet::Item&)> item;
    };

    // Listens at once; the first probe goes out within P. Throws boost::system::system_error where it can't
    // listen at its own address.
    FleetAgent(boost::asio::io_context& io, const Clock& clock, Settings settings, Listener listener);
    // Says nothing; whoever ends in good order calls leave() first.
    ~FleetAgent();
    FleetAgent(const FleetAgent&) = delete;
    FleetAgent& operator=(const FleetAgent&) = delete;

    // Other settings: first what may fail (throws as the constructor, with nothing changed), then the change,
    // which does not fail. A life that can't go on is said goodbye to, and a new one begins.
    struct Change {
        Settings settings;
        std::unique_ptr<Peers> peers;  // null: the socket stays
    };
    Change prepare(Settings settings);
    void adopt(Change change);

    // Items of other subsystems to one member, at once, in as many datagrams as they need.
    void tell(fleet::Key to, const std::vector<fleet::Item>& items);

    // This member empties, or no longer; the others learn it with the next datagrams.
    void set_draining(bool draining);
    // It ends in good order: tells some others at once. Nothing is sent or heard afterwards.
    void leave();

    fleet::Standing standing() const { return membership_->standing(); }
    const fleet::Membership& membership() const { return *membership_; }
    const Settings& settings() const { return settings_; }
    const Peers::Counts& traffic() const { return peers_->counts(); }
    const std::string& name_of(fleet::Key key) const;
    // Datagrams that were dropped unread, by reason (fleet::Fault).
    using Unread = std::array<std::uint64_t, 5>;
    const Unread& unread() const { return unread_; }
    // Datagrams of other subsystems that were more than a member may send: kItemsEachSecond, kItemsAtOnce.
    std::uint64_t item_floods() const { return item_floods_; }
    static constexpr double kItemsEachSecond = 64, kItemsAtOnce = 128;
    // Milliseconds on the program's clock.
    Millis now() const { return clock_.now(); }

private:
    void begin(Millis now);
    void index();
    std::unique_ptr<Peers> open(const Settings& settings);
    std::vector<Udp::endpoint> addresses() const;
    void received(std::uint32_t from, const std::vector<std::uint8_t>& bytes);
    void hear_items(std::uint32_t from, const fleet::Datagram& datagram);
    void tick();
    void carry_out(const fleet::FleetActions& actions);
    void tell(const fleet::Tell& tell);
    void say(const fleet::Changed& change);

    boost::asio::io_context& io_;
    const Clock& clock_;
    Settings settings_;
    Listener listener_;
    Log log_;  // its own: a fleet in trouble does not use up what others may say, nor the other way
    std::unordered_map<fleet::Key, std::uint32_t> by_key_;  // places in settings_.members
    std::unique_ptr<Peers> peers_;
    std::optional<fleet::Membership> membership_;
    fleet::Incarnation last_life_ = 0;
    Wake wake_;
    Unread unread_{};
    struct Allowance {
        double left = kItemsAtOnce;
        Millis at = 0;
    };
    std::vector<Allowance> allowances_;  // by member
    std::uint64_t item_floods_ = 0;
    bool left_ = false;
};

}  // namespace whinledge
