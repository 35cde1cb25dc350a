#include "listen/door.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "io/clock.hpp"
#include "io/insist.hpp"

namespace whinledge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Millis kAcceptPause = 20;  // at most, when there is no room, or no descriptor to be had
constexpr Millis kSweep = 250;       // between looks at whose time is up, which this adds to their limits
// How long the client's end is awaited after a last answer; longer where it may still be sending, or has not
// got all of the answer.
constexpr Millis kLinger = 300, kLongLinger = 2500;
constexpr Millis kLook = 50;  // between looks for the end of who is held up

constexpr int kLastReads = 8;   // of what a client has sent, ahead of its connection's close
constexpr Millis kHaste = 500;  // of a drain in haste, for answers to be taken

class SteadyTime final : public TimeSource {
public:
    Millis now() const override {
        const auto since = std::chrono::steady_clock::now().time_since_epoch();
        return std::chrono::duration<Millis, std::milli>(since).count();
    }
};

// What Linux tells of a socket; all zero where it tells nothing.
template <class Socket>
tcp_info tcp_info_of(const Socket& socket) {
    tcp_info info{}, none{};
    socklen_t size = sizeof info;
    const int failed =
        ::getsockopt(const_cast<Socket&>(socket).native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
    return failed ? none : info;
}

}  // namespace

// ---- A guest
// --------------------------------------------------------------------------------------------------

Door::Guest::Guest(Door& door, Places::Id place_, Tcp::socket socket)
    : place(place_), door_(&door), socket_(std::move(socket)) {
    error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

void Door::Guest::close() {
    if (!door_) return;
    const GuestPtr self = shared_from_this();
    Door* const door = std::exchange(door_, nullptr);
    error_code ignored;
    if (resets_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    left();
    door->closed(*this);
}

void Door::Guest::limit(Millis length) { limit_ = length > 0 && door_ ? door_->now() + length : kNever; }

error_code Door::Guest::unread() const {
    char byte;
    error_code error;
    const_cast<Tcp::socket&>(socket_).receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    return error;
}

// A read would bring what lies ahead of the end; Linux tells the connection's state beside it.
bool Door::Guest::has_gone() const {
    const error_code error = unread();
    if (error) return error != asio::error::would_block;
    const auto state = tcp_info_of(socket_).tcpi_state;
    return state == TCP_CLOSE_WAIT || state == TCP_CLOSE;
}

void Door::Guest::watch_end() {
    if (!look_) look_ = std::make_unique<asio::steady_timer>(door_->io_);
    look_->expires_after(span(kLook));
    look_->async_wait([self = shared_from_this(), this](error_code cancelled) {
        if (cancelled || !door_ || waiting_ || !held_up()) return;
        has_gone() ? close() : watch_end();
    });
}

void Door::Guest::wait_readable() {
    if (waiting_) return;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
        self->waiting_ = false;
        if (!self->door_) return;
        try {
            if (failed) return self->close();
            self->finishing_ ? self->discard() : self->readable(failed);
        } catch (const std::exception&) {
            self->broken();
        }
    });
    waiting_ = true;
}

std::string_view Door::Guest::receive(error_code& error) {
    const std::size_t size = socket_.read_some(asio::buffer(door_->scratch_), error);
    return {door_->scratch_.data(), size};
}

Door::Guest::Early Door::Guest::read_early(std::string& pending, bool wanted, std::size_t most) noexcept {
    error_code error;
    const std::string_view bytes = receive(error);
    if (error == asio::error::would_block) return Early::kept;
    if (error) return Early::ended;
    if (!wanted || pending.size() + bytes.size() > most) return Early::unwanted;
    try {
        pending.append(bytes);
        return Early::kept;
    } catch (const std::bad_alloc&) {
        return Early::unwanted;
    }
}

void Door::Guest::finish(bool may_be_sending) {
    finishing_ = true;
    resets_ = false;
    door_->places_.ends(place, door_->now());
    longest_linger_ = door_->now() + kLongLinger;
    limit(may_be_sending ? kLongLinger : kLinger);
    error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    wait_readable();
}

void Door::Guest::finish_idle() {
    leaves_unread_ = true;
    finish(false);
}

// Since something came from it, or it connected: it may have waited to be accepted for long. Linux tells.
Millis Door::Guest::silence() const { return tcp_info_of(socket_).tcpi_last_data_recv; }

// Once for each wait, so that who sends at full speed is no more than one among all.
void Door::Guest::discard() {
    if (leaves_unread_ && !holds_answer()) return close();
    error_code error;
    receive(error);
    if (error && error != asio::error::would_block) return close();
    wait_readable();
}

// Bytes that the client's machine has not acknowledged; our half-close counts as one.
int Door::Guest::unacknowledged() const {
    int size = 0;
    const int failed = ::ioctl(const_cast<Tcp::socket&>(socket_).native_handle(), SIOCOUTQ, &size);
    return failed ? 0 : size;
}

// A reset could take bytes of an answer with it.
bool Door::Guest::holds_answer() const { return unacknowledged() > (finishing_ ? 1 : 0); }

// The next sweep looks again while there is time.
void Door::Guest::linger_over(Millis now) {
    if (now >= longest_linger_ || !undelivered()) drop();
}

// The end of a client that has not ended its connection itself: over no unread bytes where it has been
// answered.
void Door::Guest::drop() {
    const bool answered = finishing_ && !leaves_unread_;
    error_code error;
    if (answered || holds_answer())
        for (int reads = 0; reads < kLastReads && !error; ++reads) receive(error);
    close();
}

void Door::Guest::say_last(std::string_view bytes) noexcept {
    try {
        error_code ignored;
        if (!bytes.empty()) socket_.write_some(asio::buffer(bytes), ignored);
        if (!bytes.empty()) return finish(true);
    } catch (const std::exception&) {
    }
    close();
}

// ---- The door
// ---------------------------------------------------------------------------------------------------

std::size_t Door::allowed_descriptors() {
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : kAny;
}

Door::Tcp::acceptor Door::listening(asio::io_context& io, const Listen& listen) {
    if (!listen.predecessor) return {io, listen.address, true};
    const int shared = ::dup(const_cast<Tcp::acceptor&>(listen.predecessor->acceptor_).native_handle());
    if (shared < 0) throw boost::system::system_error(errno, boost::system::system_category());
    return {io, listen.address.protocol(), shared};
}

// Not closed as it is: while another door listens on the same socket, the loop would go on hearing of it
// here.
void Door::shut_acceptor() {
    error_code failed;
    const int socket = acceptor_.release(failed);
    if (!failed) ::close(socket);
}

Door::Door(asio::io_context& io, const Listen& listen, std::size_t places, Make make,
           std::function<void()> drained, std::function<void(const std::string&)> log, Budget budget,
           const TimeSource& clock)
    : io_(io),
      acceptor_(listening(io, listen)),
      address_(acceptor_.local_endpoint()),
      make_(std::move(make)),
      drained_(std::move(drained)),
      log_(std::move(log)),
      budget_(std::move(budget)),
      clock_(clock),
      timer_(io),
      sweep_timer_(io),
      drain_timer_(io),
      places_(places) {
    acceptor_.non_blocking(true);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept();
    sweep();
}

const TimeSource& Door::steady() {
    static const SteadyTime clock;
    return clock;
}

Door::~Door() {
    drained_ = nullptr;
    if (acceptor_.is_open()) shut_acceptor();
    if (std::exchange(entered_, false) && budget_.leave) budget_.leave();
    for (const auto& [id, guest] : std::exchange(guests_, {})) guest->close();
}

// Ends what has had its time.
void Door::sweep() {
    sweep_timer_.after(span(kSweep), [this] { sweep(); });
    const Millis now = this->now();
    for (const GuestPtr& guest : all())
        if (guest->overdue(now)) guest->finishing_ ? guest->linger_over(now) : guest->out_of_time();
    shut() ? end_drain() : accept();  // mostly it does
}

void Door::accept() {
    if (!accepting_.expired() || !acceptor_.is_open()) return;
    if (!make_room() || !enter()) return pause();
    insist([this] {
        auto awaited = std::make_shared<char>();
        acceptor_.async_accept(
            [this, alive = alive(), awaited](error_code failed, Tcp::socket socket) mutable {
                if (alive.expired()) return;
                awaited.reset();
                entered_ = false;
                if (failed && budget_.leave) budget_.leave();
                try {
                    if (!failed) {
                        const GuestPtr guest = accepted(std::move(socket));
                        if (shut()) last_chance(guest);  // it came just as accepting ended
                        return accept();
                    }
                    if (failed == asio::error::no_descriptors && let_go()) return;  // and accepts again
                } catch (const std::exception& error) {
                    log_(std::string("a connection was not taken: ") + error.what());
                }
                shut() ? end_drain() : pause();
            });
        accepting_ = awaited;
    });
}

// Where somebody silent is waited for, to the end of their time: a longer pause each time adds up over those
// who wait behind them.
void Door::pause() {
    const Millis patience = places_.patience(now()).value_or(kAcceptPause);
    timer_.after(span(std::min(kAcceptPause, patience)), [this] { accept(); });
}

Door::GuestPtr Door::accepted(Tcp::socket socket) {
    GuestPtr guest;
    try {
        guest = make_(next_guest_++, std::move(socket));
    } catch (...) {
        if (budget_.leave) budget_.leave();
        throw;
    }
    places_.connected(guest->place, now(), guest->silence());
    try {
        guests_.emplace(guest->place, guest);
        guest->welcome();
    } catch (...) {
        guest->close();
        places_.closed(guest->place);
        throw;
    }
    return guest;
}

std::vector<Door::GuestPtr> Door::all() const {
    std::vector<GuestPtr> all;
    for (const auto& [id, guest] : guests_) all.push_back(guest);
    return all;
}

// At the bound, who is worth least makes room, unless something has come from it.
bool Door::make_room() { return !places_.full() || close_least(); }

// A descriptor for one more; at a bound that others share, one of ours makes room.
bool Door::enter() {
    entered_ = entered_ || !budget_.enter || budget_.enter() || (close_least() && budget_.enter());
    return entered_;
}

// Of those whose descriptor is below a bound: closing another one gives nothing back under a lowered limit.
bool Door::close_least(std::size_t below) {
    const auto spare = [this, below](Places::Id id) {
        const GuestPtr& guest = guests_.at(id);
        return static_cast<std::size_t>(guest->socket_.native_handle()) < below &&
               (guest->finishing_ || guest->spare());
    };
    const auto least = places_.least_worth(now(), spare);
    if (least) GuestPtr(guests_.at(*least))->drop();
    return least.has_value();
}

// Of a listening socket Linux tells them in this field.
std::size_t Door::queued() const { return tcp_info_of(acceptor_).tcpi_unacked; }

void Door::rested() {
    if (places_.full())
        asio::post(io_, [this, alive = alive()] {
            if (!alive.expired()) accept();
        });
}

void Door::closed(const Guest& guest) {
    places_.closed(guest.place);
    if (budget_.leave) budget_.leave();
    if (guests_.erase(guest.place) == 0) return;
    asio::post(io_, [this, alive = alive()] {
        if (!alive.expired()) accept();
    });
    end_drain();
}

void Door::drain(Millis accepting) {
    if (draining_) return;
    draining_ = true;
    if (accepting <= 0) return stop_accepting();
    drain_timer_.after(span(accepting), [this] { stop_accepting(); });
}

// What the machine has accepted by now is taken, as far as it is whole.
void Door::stop_accepting() {
    if (!acceptor_.is_open()) return;
    draining_ = true;
    drain_timer_.cancel();
    timer_.cancel();
    for (;;) {
        error_code failed;
        Tcp::socket socket(io_);
        acceptor_.accept(socket, failed);
        if (failed) break;
        if (budget_.enter && !budget_.enter()) continue;  // nobody waits for it any more
        try {
            accepted(std::move(socket));
        } catch (const std::exception& error) {
            log_(std::string("a connection was not taken: ") + error.what());
        }
    }
    shut_acceptor();
    for (const GuestPtr& guest : all())
        if (!guest->finishing_) last_chance(guest);
    end_drain();
}

// What is thrown for one is not everybody's: the others have their chance, and the drain its end.
void Door::last_chance(const GuestPtr& guest) {
    try {
        guest->last_chance();
    } catch (const std::exception&) {
        guest->broken();
    }
}

void Door::hurried(const GuestPtr& guest) {
    try {
        guest->hurried();
    } catch (const std::exception&) {
        guest->broken();
    }
}

void Door::hurry() {
    if (std::exchange(hurried_, true)) return;
    stop_accepting();
    for (const GuestPtr& guest : all())
        if (!guest->finishing_) hurried(guest);
    drain_timer_.after(span(kHaste), [this] {
        if (drained_) std::exchange(drained_, nullptr)();
    });
}

// Once nobody is left, here or on the way in. Each state of a guest has its own limit in time: its request's
// deadline, the writing of its answer, its linger.
void Door::end_drain() {
    if (shut() && accepting_.expired() && guests_.empty() && drained_)
        asio::post(io_, std::exchange(drained_, nullptr));
}

}  // namespace whinledge
