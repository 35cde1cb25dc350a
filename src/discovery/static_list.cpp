#include "discovery/static_list.hpp"

#include <boost/asio/post.hpp>
#include <utility>

#include "discovery/teller.hpp"

namespace whinledge {

// Kept by those who call back, so that a callback may end the source.
struct StaticList::State {
    State(boost::asio::io_context& context, std::vector<Member> list, Callbacks callbacks)
        : io(context), members(std::move(list)), teller(std::move(callbacks)) {}
    boost::asio::io_context& io;
    std::vector<Member> members;
    Teller teller;
    std::uint64_t version = 1;
    bool started = false;
};

namespace {

// Runs from the loop, unless what it is about has gone by then.
template <class State, class What>
void from_loop(const std::shared_ptr<State>& state, What what) {
    boost::asio::post(state->io, [weak = std::weak_ptr<State>(state), what] {
        if (const auto self = weak.lock()) what(*self);
    });
}

}  // namespace

StaticList::StaticList(boost::asio::io_context& io, std::vector<Member> members, Callbacks callbacks)
    : state_(std::make_shared<State>(io, std::move(members), std::move(callbacks))) {}

StaticList::~StaticList() = default;

void StaticList::start() {
    if (std::exchange(state_->started, true)) return;
    from_loop(state_, [](State& s) { s.teller.tell({s.version, true, s.members}); });
}

void StaticList::replace(std::vector<Member> members) {
    state_->members = std::move(members);
    if (!state_->started) return;
    ++state_->version;
    from_loop(state_, [](State& s) { s.teller.tell({s.version, true, s.members}); });
}

void StaticList::fetch() {
    from_loop(state_, [](State& s) { s.teller.again(); });
}

}  // namespace whinledge
