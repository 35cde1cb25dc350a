// The server list: one watch after another at discovery, over a kept-alive connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "discovery/pace.hpp"
#include "engine/members.hpp"
#include "io/address.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"
#include "io/open_socket.hpp"

namespace whinledge {

class Discovery {
public:
    struct Callbacks {
        std::function<void(MemberList)> changed;  // with no change in it where `failed` is over
        std::function<void()> failed;             // only where the watch does not go on by itself
        LetGo let_go{};                           // for a descriptor
    };

    // docs/design/discovery.md sums up from these how late a change is known at the worst.
    struct Limits {
        Millis hold;      // asked for by a watch
        Millis patience;  // with a call that says nothing, beyond that
        Millis rest;      // for an answer that has begun
        Millis connect;
    };
    // An agent beside us answers at once and costs nothing. One service for all takes calls in turn: who
    // gives one up that is in the queue only asks for more of what is short.
    static constexpr Limits kPushed{1000, 250, 300, 250}, kAsked{2000, 1500, 300, 250};

    // `persistent`: a watch that fails is begun again by itself, as is right with an agent (kPushed); else
    // whoever wants it asks for it anew (kAsked).
    Discovery(boost::asio::io_context& io, Log& log, const Tcp::endpoint& address, std::uint64_t version,
              bool persistent, Callbacks callbacks);
    ~Discovery();

    void watch(bool active);
    void fetch();  // the whole list, once
    // Asks at another address from now on, for the whole list first: its versions say nothing of the others'.
    void move(const Tcp::endpoint& address);

private:
    class Call;
    void begin();
    void renew(Millis wait);
    struct Asked {
        std::uint64_t version;  // that was held
        bool whole;             // and was not asked from
    };
    void watched(const Asked& asked, bool answered, const std::string& body);
    void fetched(const Asked& asked, bool answered, const std::string& body);
    std::optional<MemberList> read(const Asked& asked, bool answered, const std::string& body);
    bool take(const Asked& asked, const MemberList& list);
    void look();
    void distrust(const char* why);
    void end_watch();
    void log_once(const std::string& why);

    boost::asio::io_context& io_;
    Log& log_;
    Tcp::endpoint address_;
    std::uint64_t version_;
    bool persistent_;
    const Limits& limits_;
    Callbacks callbacks_;
    Clock clock_;
    CallPace pace_;
    boost::asio::steady_timer timer_;  // of the next call
    std::shared_ptr<void> pause_;      // while it runs; gone, it is void even if its handler is under way
    std::shared_ptr<Call> watch_, fetch_;
    bool active_ = false, told_ = false;
    bool heard_ = false;    // the last call was answered: the next one may hold
    bool compares_ = true;  // version_ is one that a watch may ask from
};

}  // namespace whinledge
