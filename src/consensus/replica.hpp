// What this process holds of the register, the acceptor of its disk and the newest value known to be chosen,
// and how it asks acceptors, its own among them.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "consensus/durable_acceptor.hpp"

namespace whinledge::consensus {

class Replica {
public:
    using ReplyDone = DurableAcceptor::ReplyDone;

    // `self.identity` becomes the acceptor's.
    Replica(RegisterHost& host, wire::NodeInfo self, bool founder, Acceptor acceptor);

    RegisterHost& host() const { return host_; }
    const wire::NodeInfo& self() const { return self_; }
    // As others are told of this process: without an identity, so as no acceptor that is there, while its
    // disk hangs or refuses what is written.
    wire::NodeInfo told_self() const;
    bool takes_writes() const { return !acceptor_.hangs() && !acceptor_.refuses(); }
    bool disk_refuses() const { return acceptor_.refuses(); }
    std::uint64_t disk_withdrawals() const { return acceptor_.withdrawals(); }
    void probe_disk() { acceptor_.probe_disk(); }
    // The disk was first used at the system's first boot.
    bool founder() const { return founder_; }
    std::size_t waiting_for_disk() const { return acceptor_.waiting(); }
    // As its disk has it.
    const Acceptor& acceptor() const { return acceptor_.synced(); }
    const wire::ChosenValue& known() const { return *known_; }
    // The same, to be held while newer ones come.
    std::shared_ptr<const wire::ChosenValue> hold() const { return known_; }
    bool founded() const { return known_->epoch != 0; }

    // Takes note of a value that was chosen, of whatever epoch, and has recorded what the acceptor has to
    // keep of it.
    void learn(const wire::ChosenValue& value);
    // Learns of a value whose ballot alone was told, if the acceptor has it.
    void learn_accepted(std::int64_t epoch, const wire::Ballot& ballot);

    // Answers a request to this acceptor, at once or when its disk has what it says. `done` is called once.
    // None: there is to be no reply.
    void handle(const AcceptorRequest& request, ReplyDone done);
    // Lets go of requests that have waited for the disk for so long that nobody awaits their replies.
    void expire_requests() { acceptor_.expire(); }
    // Asks an acceptor, telling it of the epoch first where it does not know it. `done` is called once.
    template <class Request>
    void ask(const wire::Acceptor& to, Request request, ReplyDone done);
    wire::ShareRequest share_request(bool with_value) const;
    // What a round with the present value may take.
    Millis round_timeout() const;

    // An epoch has begun. Not called from within the calls above.
    std::function<void()> on_epoch;
    RegisterCounters counters;  // ahead of what counts in them

private:
    void ask_over_network(const wire::Acceptor& to, std::int64_t epoch, AcceptorRequest request,
                          ReplyDone done);

    RegisterHost& host_;
    wire::NodeInfo self_;
    bool founder_;
    DurableAcceptor acceptor_;
    std::shared_ptr<const wire::ChosenValue> known_;
};

template <class Request>
void Replica::ask(const wire::Acceptor& to, Request request, ReplyDone done) {
    if (to.identity != acceptor().identity()) {
        const std::int64_t epoch = request.epoch;
        return ask_over_network(to, epoch, std::move(request), std::move(done));
    }
    host_.after(0, [this, request = std::move(request), done = std::move(done)] { handle(request, done); });
}

// The first value of the epoch that a seal begins.
wire::ChosenValue after_seal(std::int64_t epoch, const wire::Entry& sealed);
// A value chosen in the epoch of `held`.
wire::ChosenValue chosen_in(const wire::ChosenValue& held, const wire::Ballot& ballot,
                            const wire::Entry& entry);
wire::Acceptor acceptor_of(const wire::NodeInfo& node);

}  // namespace whinledge::consensus
