// What a request has to pass: open requests and bytes of bodies, of its listener and of its pool, all or
// nothing. Without I/O and without a clock. The design and what a refusal means for operators:
// docs/limits.md.
//
// The same holdings are counted twice, once by listener and once by pool, each time against the same total. A
// request without a pool (a redirect, a fixed answer) counts for a pool without a guarantee.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "limits/shares.hpp"

namespace whinledge::limits {

using Millis = double;

enum class Resource : std::uint8_t { requests, bytes };
enum class Side : std::uint8_t { listener, pool };

// How much has been given back of late: a mean that forgets with a time constant of 10 s.
class Rate {
public:
    void add(Amount n, Millis now);
    double per_ms(Millis now) const;

private:
    double rate_ = 0;  // at `at_`
    Millis at_ = 0;
};

// When so much is likely to have been given back: 1000 to 60000 ms, in whole seconds. None: nobody can tell,
// since next to nothing (less than one in ten minutes) has been given back of late.
std::optional<Millis> retry_after(Amount short_by, double per_ms);

// Which limit of whom.
struct Refusal {
    Resource resource = Resource::requests;
    Side side = Side::listener;
    Member who;  // listener or pool; none: the request without a pool
    Why why = Why::gone;
    // A hint for Retry-After; none: unknown, or asking again is of no use (never, gone). Whoever sends it had
    // better spread it, or all that were refused come back at once.
    std::optional<Millis> retry_after;
};

// Names a ticket for whoever keeps a table of them; told apart from the 2^32 before it. 0: none.
using TicketId = std::uint64_t;

// The right to what a request holds. It is given back by handing it over (Gate::give_back), so that it can't
// be twice; a live one can be neither copied nor overwritten. Dropping a live one loses what it holds: see
// Hold.
class [[nodiscard]] Ticket {
public:
    Ticket() = default;
    Ticket(Ticket&& other) noexcept : id_(std::exchange(other.id_, 0)) {}
    Ticket& operator=(Ticket&&) = delete;

    TicketId id() const { return id_; }
    explicit operator bool() const { return id_ != 0; }

private:
    friend class Gate;
    explicit Ticket(TicketId id) : id_(id) {}
    TicketId id_ = 0;
};

// Calls allocate only for more tickets or more pairs of listener and pool that wait than there ever were.
// Wrong use (an empty ticket, more given back than held, a second wait) throws std::logic_error and changes
// nothing.
class Gate {
public:
    // Totals: requests open at once, bytes of bodies in memory; at most kMostTotal each.
    Gate(Amount requests, Amount bytes);
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;

    // The caller's clock, in ms; told at the start of each event, never backwards.
    void at(Millis now) { now_ = now > now_ ? now : now_; }

    // ---- listeners and pools, at the start and at run time
    struct Wanted {
        Member member;  // slot kNone: a new one
        Bound requests, bytes;
    };
    struct Rejected {
        Fault fault = Fault::none;
        Resource resource = Resource::requests;
        Side side = Side::listener;
    };
    struct Members {
        std::vector<Member> listeners, pools;  // in the order wanted
    };
    // All in one step or, with a fault, not at all. Those not named are removed: nothing is admitted for them
    // any more, and what they have open goes on without a guarantee. Call woken() afterwards.
    std::optional<Rejected> reload(Amount requests, Amount bytes, std::span<const Wanted> listeners,
                                   std::span<const Wanted> pools, Members& members);

    // ---- a request
    struct Admission {
        Ticket ticket;                   // empty if refused
        std::optional<Refusal> refusal;  // of the first limit in the way: requests before bytes, pool first
    };
    // `bytes` of its body are held from the start; no pool: a default Member.
    [[nodiscard]] Admission admit(Member listener, Member pool, Amount bytes);
    // Takes the ticket even if it waits. An empty one: nothing happens. Another gate's ends the program.
    void give_back(Ticket ticket) noexcept;

    // `n` bytes more. Within the guarantees of both its listener and its pool it is always granted (but see
    // Shares::over_committed); past one, not ahead of those that wait for the same and are within no fewer.
    [[nodiscard]] std::optional<Refusal> grow(const Ticket& ticket, Amount n);
    // The same; if it is refused it waits (unless the refusal says never or gone), and woken() tells when it
    // has them. Who waits keeps what it holds: a body that has to be whole before any of it goes on needs a
    // bound on its wait, or two of them wait for each other for ever.
    [[nodiscard]] std::optional<Refusal> grow_or_wait(const Ticket& ticket, Amount n);
    void stop_waiting(const Ticket& ticket);
    // `n` of its bytes have gone on.
    void shrink(const Ticket& ticket, Amount n);

    // Who has waited and now has its bytes (they are booked), or will never have them (`refusal`). Call it
    // after each give_back, shrink, stop_waiting and reload until it says nobody.
    // Who is within the guarantees of both its sides comes first, then of one, then of none; among these the
    // oldest, and nobody goes ahead of an older one that waits for the same part. Of one listener and pool:
    // in the order in which they began to wait. Costs O(listeners + pools), and O(pairs of them of which
    // somebody waits).
    struct Woken {
        TicketId ticket = 0;
        std::optional<Refusal> refusal;
    };
    std::optional<Woken> woken();

    std::size_t open() const { return open_; }
    std::size_t waiting() const { return waiting_; }
    Amount held(const Ticket& ticket) const { return entry(ticket).bytes; }
    bool waits(const Ticket& ticket) const { return entry(ticket).wanted > 0; }
    // Of a listener or pool; a default Member: of the requests without a pool.
    Amount held(Resource resource, Side side, Member who) const;
    const Shares& shares(Resource resource, Side side) const { return view(resource, side).shares; }

private:
    static constexpr std::uint32_t kNone = Member::kNone;
    static constexpr int kNobody = -1;
    static constexpr std::array kSides = {Side::listener, Side::pool};
    static constexpr std::array kResources = {Resource::requests, Resource::bytes};

    // A listener or a pool.
    struct Party {
        std::uint32_t generation = 0;
        enum class State { free, member, leaving } state = State::free;
        std::array<Member, 2> at;  // in the shares of requests and of bytes
        std::array<Bound, 2> bounds;
        std::array<Rate, 2> rates;
        std::size_t open = 0;   // tickets
        int claimed = kNobody;  // the highest rank of those that wait for bytes within its own bound
    };
    struct View {
        Shares shares;
        Rate rate;
        int claimed = kNobody;  // of bytes: the same, of those that wait for the common part
    };
    struct Entry {
        std::uint32_t generation = 1;
        bool live = false;
        std::array<std::uint32_t, 2> parties{};
        Amount bytes = 0, wanted = 0;  // wanted: waits for so much
        std::uint64_t since = 0;       // its turn among those that wait
        std::uint32_t previous = kNone, next = kNone;
    };
    // Those of one listener and pool that wait.
    struct Queue {
        std::array<std::uint32_t, 2> parties{};
        std::uint32_t first = kNone, last = kNone;
    };
    using Parties = std::array<std::vector<Party>, 2>;
    using Views = std::array<std::array<View, 2>, 2>;

    static std::size_t ix(Resource resource) { return static_cast<std::size_t>(resource); }
    static std::size_t ix(Side side) { return static_cast<std::size_t>(side); }
    View& view(Resource resource, Side side) { return views_[ix(resource)][ix(side)]; }
    const View& view(Resource resource, Side side) const { return views_[ix(resource)][ix(side)]; }
    Party& party(Side side, std::uint32_t at) { return parties_[ix(side)][at]; }
    std::optional<std::uint32_t> find(Side side, Member member) const;
    Member name(Side side, std::uint32_t at) const;
    std::uint32_t index(const Ticket& ticket) const;
    const Entry& entry(const Ticket& ticket) const { return entries_[index(ticket)]; }

    static std::optional<Fault> unknown(const std::vector<Party>& parties, std::span<const Wanted> wanted);
    static Fault check(Resource resource, Amount total, std::span<const Wanted> wanted);
    static std::vector<Member> replace(Views& views, std::vector<Party>& parties, Side side,
                                       std::array<Amount, 2> totals, std::span<const Wanted> wanted);
    static void leave_if_done(Views& views, Party& party, Side side) noexcept;

    Refusal refusal(Resource resource, Side side, std::uint32_t at, Why why, Amount short_by) const;
    std::optional<Refusal> take(Resource resource, Side side, std::uint32_t at, Amount n, int rank);
    std::optional<Refusal> take_both(Resource resource, const std::array<std::uint32_t, 2>& at, Amount n);
    void untake(Resource resource, Side side, std::uint32_t at, Amount n);
    void release(Resource resource, const std::array<std::uint32_t, 2>& at, Amount n);
    std::optional<Refusal> never(const Entry& entry, Amount n) const;
    std::optional<Refusal> more(Entry& entry, Amount n);
    std::uint32_t fresh_entry();

    void claim(const Refusal& refusal, const Entry& entry);
    void drop_claims();
    void enqueue(std::uint32_t at, Amount n);
    void dequeue(std::uint32_t at) noexcept;
    void settle(std::vector<Queue>::iterator queue) noexcept;
    int guarantees(Resource resource, const std::array<std::uint32_t, 2>& at, Amount n) const;
    std::optional<Woken> try_first(const Queue& queue);

    Millis now_ = 0;
    Views views_;
    Parties parties_;
    std::vector<Entry> entries_;
    std::uint32_t free_ = kNone;
    std::vector<Queue> queues_;  // none empty; by how long the first has waited
    std::uint64_t turns_ = 0;
    std::size_t open_ = 0, waiting_ = 0;
};

// A ticket that gives itself back. The gate has to live longer.
class Hold {
public:
    Hold() = default;
    Hold(Gate& gate, Ticket ticket) : gate_(&gate), ticket_(std::in_place, std::move(ticket)) {}
    Hold(Hold&& other) noexcept { take(other); }
    Hold& operator=(Hold&& other) noexcept {
        if (this != &other) give_back(), take(other);
        return *this;
    }
    ~Hold() { give_back(); }

    void give_back() noexcept {
        if (ticket_) gate_->give_back(std::move(*ticket_));
        ticket_.reset();
    }
    // Throws std::logic_error if it holds nothing.
    const Ticket& ticket() const;
    explicit operator bool() const { return ticket_ && *ticket_; }

private:
    void take(Hold& other) noexcept {
        gate_ = other.gate_;
        if (other.ticket_) ticket_.emplace(std::move(*other.ticket_));
        other.ticket_.reset();
    }
    Gate* gate_ = nullptr;
    std::optional<Ticket> ticket_;
};

}  // namespace whinledge::limits
