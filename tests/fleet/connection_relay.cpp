#include "fleet/connection_relay.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace whinledge::fleetrig {

using boost::system::error_code;

// One connection of a node and the one to the server that belongs to it.
struct ConnectionRelay::Link : std::enable_shared_from_this<Link> {
    // What is read on one side is written on the other; one piece at a time.
    struct Way {
        Tcp::socket* in;
        Tcp::socket* out;
        asio::steady_timer timer;
        std::array<char, 16384> bytes{};
        std::size_t size = 0;
        bool waits = false;  // for a rule to go
    };

    Link(ConnectionRelay& relay, Tcp::socket near, Node node)
        : relay_(&relay),
          near_(std::move(near)),
          far_(near_.get_executor()),
          node_(node),
          there_{&near_, &far_, asio::steady_timer(near_.get_executor())},
          back_{&far_, &near_, asio::steady_timer(near_.get_executor())} {}

    void begin(const Tcp::endpoint& server) {
        far_.async_connect(server, [self = shared_from_this()](error_code failed) {
            if (failed) return self->end(true);
            self->read(self->there_);
            self->read(self->back_);
        });
    }
    void read(Way& way) {
        way.in->async_read_some(asio::buffer(way.bytes),
                                [self = shared_from_this(), &way](error_code failed, std::size_t n) {
                                    if (failed) return self->ended(way, failed == asio::error::eof);
                                    way.size = n;
                                    self->pass(way);
                                });
    }
    void pass(Way& way) {
        const Rule* const rule = relay_ ? relay_->rule_for(node_) : nullptr;
        if (!rule) return write(way);
        if (rule->reset) return end(true);
        if (rule->delay <= 0) return void(way.waits = true);
        way.timer.expires_after(RunClock::span(rule->delay));
        way.timer.async_wait([self = shared_from_this(), &way](error_code failed) {
            if (!failed) self->write(way);
        });
    }
    void write(Way& way) {
        way.waits = false;
        asio::async_write(*way.out, asio::buffer(way.bytes.data(), way.size),
                          [self = shared_from_this(), &way](error_code failed, std::size_t) {
                              failed ? self->end(true) : self->read(way);
                          });
    }
    // A side that ends is ended to the other one too; with both the link is over.
    void ended(Way& way, bool in_order) {
        if (!in_order) return end(true);
        error_code ignored;
        way.out->shutdown(Tcp::socket::shutdown_send, ignored);
        if (++ends_ == 2) end(false);
    }
    void go_on() {
        for (Way* const way : {&there_, &back_})
            if (way->waits) pass(*way);
    }
    void end(bool reset) {
        error_code ignored;
        for (Tcp::socket* const socket : {&near_, &far_}) {
            if (reset && socket->is_open()) socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        there_.timer.cancel();
        back_.timer.cancel();
        if (!relay_) return;
        ConnectionRelay& relay = *relay_;
        relay_ = nullptr;
        std::erase_if(relay.open_, [this](const auto& link) { return link.get() == this; });
    }

    ConnectionRelay* relay_;  // none: it is over
    Tcp::socket near_, far_;
    Node node_;
    Way there_, back_;
    int ends_ = 0;
};

ConnectionRelay::ConnectionRelay(asio::io_context& io, Places& places) : io_(io), places_(places) {
    accept();
}

ConnectionRelay::~ConnectionRelay() {
    const auto open = open_;
    for (const auto& link : open) link->end(true);
}

void ConnectionRelay::accept() {
    places_.connections().async_accept([this](error_code failed, Tcp::socket socket) {
        if (failed == asio::error::operation_aborted) return;
        if (!failed) {
            // Where it was sent to says for whom it is.
            const Tcp::endpoint at = socket.local_endpoint(failed);
            const auto pair = failed ? std::nullopt : Places::pair_of(at.address().to_v4().to_uint());
            if (pair) {
                const auto link = std::make_shared<Link>(*this, std::move(socket), pair->first);
                open_.push_back(link);
                const Rule* const rule = rule_for(pair->first);
                rule && rule->reset ? link->end(true) : link->begin(places_.server(pair->second));
            }
        }
        accept();
    });
}

const ConnectionRelay::Rule* ConnectionRelay::rule_for(Node node) const {
    for (const auto& [id, rule] : rules_)
        if (rule.applies(node)) return &rule;
    return nullptr;
}

std::uint64_t ConnectionRelay::add(Rule rule) {
    rules_.push_back({next_, std::move(rule)});
    if (rules_.back().rule.reset) {
        const auto open = open_;
        for (const auto& link : open)
            if (rules_.back().rule.applies(link->node_)) link->end(true);
    }
    return next_++;
}

void ConnectionRelay::remove(std::uint64_t id) {
    rules_.remove_if([id](const Named& named) { return named.id == id; });
    wake();
}

void ConnectionRelay::wake() {
    const auto open = open_;
    for (const auto& link : open) link->go_on();
}

}  // namespace whinledge::fleetrig
