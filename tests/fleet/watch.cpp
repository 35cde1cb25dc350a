#include "fleet/watch.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace whinledge::fleetrig {

namespace asio = boost::asio;
using boost::system::error_code;
using Json = nlohmann::json;
using Local = asio::local::stream_protocol;

namespace {

constexpr Millis kAgain = 10;  // between two tries to connect
constexpr std::size_t kLongestLine = 8 << 20;

}  // namespace

// One connection after the other to one node, until it is closed.
class Watch::Ear : public std::enable_shared_from_this<Ear> {
public:
    Ear(Watch& watch, Node node, std::string path)
        : watch_(&watch), node_(node), path_(std::move(path)), socket_(watch.io_), timer_(watch.io_) {}

    void connect() {
        socket_ = Local::socket(timer_.get_executor());
        socket_.async_connect(Local::endpoint(path_), [self = shared_from_this()](error_code failed) {
            if (!self->watch_) return;
            if (failed) return self->later(kAgain, [](Ear& ear) { ear.connect(); });
            self->buffer_.clear();
            self->ask("fleet watch");
            self->read();
        });
    }
    void close() {
        watch_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }
    // How long a question has been waiting.
    std::optional<Millis> waits(Millis now) const {
        return asked_at_ ? std::optional(now - *asked_at_) : std::nullopt;
    }

private:
    template <class Then>
    void later(Millis wait, Then then) {
        timer_.expires_after(RunClock::span(wait));
        timer_.async_wait([self = shared_from_this(), then](error_code failed) {
            if (!failed && self->watch_) then(*self);
        });
    }
    void ask(const char* command) {
        asked_at_ = watch_->clock_.now();
        out_ = Json{{"command", command}}.dump() + "\n";
        asio::async_write(socket_, asio::buffer(out_),
                          [self = shared_from_this()](error_code, std::size_t) {});
    }
    void read() {
        asio::async_read_until(socket_, asio::dynamic_buffer(buffer_, kLongestLine), '\n',
                               [self = shared_from_this()](error_code failed, std::size_t size) {
                                   if (!self->watch_) return;
                                   if (failed) return self->broken();
                                   self->line(size);
                               });
    }
    void line(std::size_t size) {
        const std::string line = buffer_.substr(0, size);
        buffer_.erase(0, size);
        const bool answer = line.find("\"status\"") != std::string::npos;
        if (answer && asked_at_) {
            const Millis now = watch_->clock_.now();
            watch_->record_.add({now, Asked{node_, true, now - *asked_at_}});
            asked_at_.reset();
            later(watch_->poll_, [](Ear& ear) { ear.ask("fleet members"); });
        }
        watch_->take(node_, line);
        if (watch_) read();
    }
    // Of a process that ends, or goes on: then it is connected to again.
    void broken() {
        asked_at_.reset();
        later(kAgain, [](Ear& ear) { ear.connect(); });
    }

    Watch* watch_;  // none: closed
    Node node_;
    std::string path_;
    Local::socket socket_;
    asio::steady_timer timer_;
    std::string buffer_, out_;
    std::optional<Millis> asked_at_;
};

Watch::Watch(asio::io_context& io, const RunClock& clock, Record& record, Millis poll)
    : io_(io), clock_(clock), record_(record), poll_(poll) {
    const Record::Cast& cast = record.cast();
    ears_.resize(cast.nodes.size());
    last_.assign(cast.nodes.size(), std::vector<Last>(cast.members.size()));
    standing_.resize(cast.nodes.size());
    up_.resize(cast.nodes.size());
}

Watch::~Watch() {
    for (const auto& ear : ears_)
        if (ear) ear->close();
}

void Watch::expect(Node node, const std::string& path) {
    gone(node);
    ears_[node] = std::make_shared<Ear>(*this, node, path);
    ears_[node]->connect();
}

void Watch::gone(Node node) {
    if (ears_[node]) ears_[node]->close();
    ears_[node].reset();
    std::fill(last_[node].begin(), last_[node].end(), Last{});
    standing_[node].clear();
    up_[node] = false;
}

bool Watch::up(Node node) const { return up_[node]; }

std::uint64_t Watch::incarnation(Node node) const {
    return last_[node][record_.cast().member_of[node]].incarnation;
}

void Watch::finish() {
    const Millis now = clock_.now();
    for (Node n = 0; n < ears_.size(); ++n)
        if (const auto waited = ears_[n] ? ears_[n]->waits(now) : std::nullopt)
            record_.add({now, Asked{n, false, *waited}});
}

Member Watch::member(std::string_view name) const {
    const auto& names = record_.cast().members;
    // s1, s2, ...: its place stands in its name.
    std::size_t place = 0;
    for (const char c : name.substr(std::min<std::size_t>(1, name.size())))
        place = c >= '0' && c <= '9' && place < names.size() ? place * 10 + static_cast<std::size_t>(c - '0')
                                                             : names.size() + 1;
    return place >= 1 && place <= names.size() && names[place - 1] == name ? place - 1 : names.size();
}

void Watch::hold(Node node, Member member, const Last& now, double said_at, bool polled) {
    Last& last = last_[node][member];
    if (last.belief == now.belief && last.incarnation == now.incarnation && last.draining == now.draining)
        return;
    last = now;
    record_.add(
        {clock_.now(), Held{node, member, now.belief, now.incarnation, now.draining, said_at, polled}});
}

void Watch::stand(Node node, const std::string& standing) {
    if (standing_[node] == standing) return;
    standing_[node] = standing;
    record_.add({clock_.now(), Stood{node, standing}});
}

bool Watch::take(Node node, std::string_view line) {
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object()) return false;
    try {
        const auto last_of = [](const Json& one, const char* state) {
            Last last;
            last.incarnation = one.at("incarnation").get<std::uint64_t>();
            last.belief = belief_of(one.at(state).get_ref<const std::string&>()).value_or(Belief::unknown);
            // Never heard of: the program holds it failed, in no life.
            if (last.incarnation == 0) last.belief = Belief::unknown;
            last.draining = one.at("draining").get<bool>();
            return last;
        };
        const std::size_t members = record_.cast().members.size();
        if (const auto event = json.find("event"); event != json.end()) {
            if (*event == "standing") return stand(node, json.at("to")), true;
            const Member about = member(json.at("name").get_ref<const std::string&>());
            if (about < members)
                hold(node, about, last_of(json, "to"), json.at("at_ms").get<double>(), false);
            return about < members;
        }
        const Json& result = json.at("result");
        const bool first = !up_[node];
        if (first) record_.add({clock_.now(), Lived{node, Life::up, 0}});
        up_[node] = true;
        std::vector<bool> named(members);
        for (const Json& one : result.at("members")) {
            const Member about = member(one.at("name").get_ref<const std::string&>());
            if (about >= members) continue;
            named[about] = true;
            hold(node, about, last_of(one, "state"), 0, !first);
        }
        for (Member m = 0; m < members; ++m)
            if (!named[m]) hold(node, m, Last{}, 0, !first);
        stand(node, result.at("standing"));
        return true;
    } catch (const Json::exception&) {
        return false;
    }
}

}  // namespace whinledge::fleetrig
