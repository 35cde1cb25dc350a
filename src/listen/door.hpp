// The door of a listener: accepts connections within its places, makes room among them, and ends them in good
// order when the process drains. What is said on a connection is its Guest's, of the listener's profile.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/time_source.hpp"
#include "io/loop_timer.hpp"
#include "limits/places.hpp"

namespace whinledge {

class Door {
public:
    using Tcp = boost::asio::ip::tcp;
    static constexpr std::size_t kAny = static_cast<std::size_t>(-1);

    // One connection, on the loop's thread.
    class Guest : public std::enable_shared_from_this<Guest> {
    public:
        Guest(Door& door, Places::Id place, Tcp::socket socket);
        virtual ~Guest() = default;

        // Has just been accepted.
        virtual void welcome() = 0;
        // Nothing of a request has come, or nothing that counts: its connection may be had.
        virtual bool spare() const = 0;
        virtual void out_of_time() = 0;
        // Accepting ends: all that has come of a request is read, what is not whole then is refused. Who says
        // nothing is ended in good order: a request that crosses this is never sent on.
        virtual void last_chance() = 0;
        // The process ends in a moment: what has not been sent on is not sent any more, and is refused.
        virtual void hurried() {}

        bool overdue(Millis now) const { return now >= limit_; }
        // At once: of a connection that has ended or broken by itself.
        void close();

        const Places::Id place;

    protected:
        using error_code = boost::system::error_code;

        // What came on the socket, or that something may have.
        virtual void readable(error_code failed) = 0;
        // Something was thrown: what is owed has to go out in bytes that need no memory.
        virtual void broken() noexcept = 0;
        // The connection is closed; what was open on it has lost its client.
        virtual void left() = 0;

        // From now; 0: none.
        void limit(Millis length);
        bool limited() const { return limit_ != kNever; }
        // What a read would bring: an error, its end, or nothing yet (would_block).
        error_code unread() const;
        // Its end, or an error, has come, be it behind bytes that nobody has read.
        bool has_gone() const;
        // It is left unread for now, though it counts as gone once its end has come.
        virtual bool held_up() const { return false; }
        // For as long as it is held up: its end, which no wait would tell, is looked for, and closes it.
        void watch_end();
        // One wait at a time; its end is readable().
        void wait_readable();
        // Bytes of what can be had at once, in the door's buffer; empty with would_block.
        std::string_view receive(error_code& error);
        // Who waits for its answer, or takes it, is read on, so that its end is seen behind whatever it sends
        // early. Appends that to `pending`; what is not wanted, or too much, is dropped.
        enum class Early { kept, unwanted, ended };
        static constexpr std::size_t kMostEarly = 16 * 1024;  // bytes that a client sends ahead of its answer
        Early read_early(std::string& pending, bool wanted, std::size_t most = kMostEarly) noexcept;
        // Closing over unread bytes would reset the connection and could take the answer with it: a
        // half-close, then a linger, in which the client's end is awaited and what it still sends is dropped.
        void finish(bool may_be_sending);
        // The same of one that idles. A request that crosses it is left unread, and resets the connection:
        // its client knows that nothing of it was taken.
        void finish_idle();
        bool finishing() const { return finishing_; }
        void discard();
        // Of broken(): an answer that needs no memory, then the end.
        void say_last(std::string_view bytes) noexcept;
        // The connection's end will be the end of what is being said (HTTP/1.0): until finish() a close is a
        // reset, so that what is cut off does not look whole.
        void end_by_connection() { resets_ = true; }

        Door* door_;  // none: closed
        Tcp::socket socket_;

    private:
        friend class Door;
        Millis silence() const;
        int unacknowledged() const;
        bool undelivered() const { return unacknowledged() > 0; }
        bool holds_answer() const;
        void linger_over(Millis now);
        void drop();

        static constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
        Millis limit_ = kNever, longest_linger_ = 0;
        std::unique_ptr<boost::asio::steady_timer> look_;  // of who has been held up
        bool waiting_ = false, finishing_ = false;
        bool resets_ = false;         // as it is closed
        bool leaves_unread_ = false;  // what comes while it is finishing
    };
    using GuestPtr = std::shared_ptr<Guest>;
    using Make = std::function<GuestPtr(Places::Id, Tcp::socket)>;

    // Descriptors that are shared with others: one is asked for ahead of each connection, and given back with
    // it. Empty: there are as many as places.
    struct Budget {
        std::function<bool()> enter;
        std::function<void()> leave;
    };

    // Where to listen: an address, or the socket of another door, which goes on listening until it stops
    // accepting.
    struct Listen {
        Listen() = default;
        Listen(const Tcp::endpoint& at) : address(at) {}
        Listen(const Door& door) : address(door.address_), predecessor(&door) {}
        Tcp::endpoint address;
        const Door* predecessor = nullptr;  // asked in the constructor alone
    };

    // Listens at once; throws boost::system::system_error where it can't. `drained` is called once, after a
    // drain, when no guest is left, in haste a moment later at the latest.
    Door(boost::asio::io_context& io, const Listen& listen, std::size_t places, Make make,
         std::function<void()> drained, std::function<void(const std::string&)> log, Budget budget = {},
         const TimeSource& clock = steady());
    ~Door();

    Tcp::endpoint address() const { return address_; }
    std::size_t guests() const { return guests_.size(); }
    Places& places() { return places_; }
    // Whether a guest that is about to have its answer is kept.
    bool stays(const Guest& guest) {
        return places_.has_come_back(guest.place) || places_.stays(guest.place, queued());
    }
    // Connections that wait to be accepted.
    std::size_t queued() const;
    boost::asio::io_context& io() { return io_; }
    // On the clock of all limits of guests.
    Millis now() const { return clock_.now(); }
    static const TimeSource& steady();

    // Who is worth least of those that can be spared is closed, for their descriptor. False: nobody can be.
    bool let_go() { return close_least(allowed_descriptors()); }
    // A guest may make room now.
    void rested();

    // Goes on taking requests for that long, while draining() holds; then stop_accepting().
    void drain(Millis accepting);
    void stop_accepting();
    // The same, and whoever is left after a moment is cut off.
    void hurry();
    bool draining() const { return draining_; }
    bool hurried() const { return hurried_; }
    // Nothing new is taken any more, on kept connections neither.
    bool shut() const { return !acceptor_.is_open(); }

private:
    static std::size_t allowed_descriptors();
    static Tcp::acceptor listening(boost::asio::io_context& io, const Listen& listen);
    void shut_acceptor();
    void accept();
    void pause();
    GuestPtr accepted(Tcp::socket socket);
    void last_chance(const GuestPtr& guest);
    void hurried(const GuestPtr& guest);
    bool make_room();
    bool enter();
    bool close_least(std::size_t below = kAny);
    std::vector<GuestPtr> all() const;
    void sweep();
    void closed(const Guest& guest);
    void end_drain();

    boost::asio::io_context& io_;
    Tcp::acceptor acceptor_;
    Tcp::endpoint address_;
    Make make_;
    std::function<void()> drained_;
    std::function<void(const std::string&)> log_;
    Budget budget_;
    const TimeSource& clock_;
    LoopTimer timer_;  // of the next try to accept
    LoopTimer sweep_timer_;
    LoopTimer drain_timer_;
    Places places_;
    std::unordered_map<Places::Id, GuestPtr> guests_;
    Places::Id next_guest_ = 1;
    std::array<char, 16 * 1024> scratch_{};  // what is read, before it is a guest's own
    bool draining_ = false, hurried_ = false;
    // A connection is awaited, or has come and waits in the loop's queue. It is the handler that holds it:
    // the loop drops that one where memory is wanting for what has come, and the sweep accepts anew.
    std::weak_ptr<void> accepting_;
    bool entered_ = false;  // a descriptor has been asked for ahead
    // What waits in the loop's queue may come after the door's end, timers that have run out too.
    const std::shared_ptr<Door*> self_ = std::make_shared<Door*>(this);
    std::weak_ptr<Door*> alive() const { return self_; }
};

}  // namespace whinledge
