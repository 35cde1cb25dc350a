#include "discovery/dns_source.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

#include "discovery/address.hpp"
#include "discovery/dns_channel.hpp"
#include "discovery/dns_message.hpp"
#include "discovery/dns_plan.hpp"
#include "discovery/teller.hpp"
#include "io/clock.hpp"
#include "io/insist.hpp"

namespace whinledge {

namespace asio = boost::asio;
namespace ip = boost::asio::ip;
using boost::system::error_code;
using dns::Type;

namespace {

constexpr std::size_t kMostTargets = 1000;  // names of one priority
constexpr std::size_t kMostMembers = 10000;
constexpr std::size_t kMostGroups = 4;  // priorities tried
constexpr std::size_t kMostOut = 32;    // questions at once

struct Target {
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const Target&) const = default;
};
using Targets = std::set<Target>;
using Key = std::pair<std::string, Type>;  // what is asked about one name

struct Result {
    std::vector<ip::address> addresses;
    std::uint32_t ttl = std::numeric_limits<std::uint32_t>::max();  // seconds
    std::string why;                                                // it failed; empty: it did not
};

// The addresses of a record that a member can have.
std::optional<ip::address> address_of(const dns::Record& record) {
    std::optional<ip::address> address;
    if (const auto* const a = std::get_if<dns::A>(&record.data)) address = ip::address_v4(*a);
    if (const auto* const aaaa = std::get_if<dns::Aaaa>(&record.data)) address = ip::address_v6(*aaaa);
    return address && reachable(*address) ? address : std::nullopt;
}

// By priority, the most wanted first. A target "." says that there is no such service (RFC 2782).
std::map<std::uint16_t, Targets> by_priority(const std::vector<dns::Record>& records) {
    std::map<std::uint16_t, Targets> groups;
    for (const dns::Record& record : records) {
        const auto* const srv = std::get_if<dns::Srv>(&record.data);
        if (!srv || srv->port == 0 || srv->target.empty()) continue;
        try {
            groups[srv->priority].insert({dns::host_name(srv->target), srv->port});
        } catch (const dns::Error&) {
        }
    }
    return groups;
}

}  // namespace

class DnsSource::Asker : public std::enable_shared_from_this<Asker> {
public:
    Asker(asio::io_context& io, DnsSettings settings, Callbacks callbacks)
        : io_(io),
          settings_(std::move(settings)),
          teller_(std::move(callbacks)),
          plan_(settings_.min_ttl, settings_.max_ttl, settings_.seed),
          timer_(io) {}

    void start() {
        if (std::exchange(started_, true)) return;
        from_loop([](Asker& self) { self.begin(); });
    }
    void fetch() {
        from_loop([](Asker& self) { self.teller_.again(); });
    }
    void close() {
        closed_ = true;
        timer_.cancel();
        end_channel();
    }

private:
    template <class What>
    void from_loop(What what) {
        asio::post(io_, [weak = weak_from_this(), what] {
            if (const auto self = weak.lock(); self && !self->closed_) what(*self);
        });
    }
    // The one timer: of the answers' end, or of the next look-up.
    template <class What>
    void after(Millis wait, What what) {
        timer_.expires_after(span(wait));
        insist([&] {
            timer_.async_wait([weak = weak_from_this(), what, turn = ++turn_](error_code cancelled) {
                const auto self = weak.lock();
                if (self && !cancelled && !self->closed_ && turn == self->turn_) what(*self);
            });
        });
    }
    void end_channel() {
        if (channel_) channel_->close();
        channel_.reset();
    }

    void begin() {
        groups_.clear();
        ttl_ = std::numeric_limits<std::uint32_t>::max();
        tried_ = 0;
        try {
            if (settings_.service.empty()) {
                groups_[0].insert({dns::host_name(settings_.host), settings_.port});
                return ask_group();
            }
            const std::string service = dns::host_name(settings_.service);
            open();
            ask(service, Type::srv, [this](const dns::Answer& answer, const std::string& why) {
                if (!why.empty()) return failed(why);
                take_targets(answer);
            });
        } catch (const std::runtime_error& error) {
            failed(error.what());
        }
    }
    // A channel for each step: it reads the resolvers anew, and has ports and ids of its own.
    void open() {
        end_channel();
        channel_ = std::make_shared<dns::Channel>(io_, settings_.resolver, settings_.timeout * 3 / 4);
        after(settings_.timeout, [](Asker& self) { self.late(); });
    }
    template <class Done>
    void ask(const std::string& name, Type type, Done done) {
        channel_->ask(name, type,
                      [weak = weak_from_this(), name, type, done](const std::vector<std::uint8_t>& bytes,
                                                                  std::string why) {
                          const auto self = weak.lock();  // it lives until done() has, whatever that ends
                          if (!self) return;
                          dns::Answer answer;
                          try {
                              if (why.empty()) answer = dns::answer_to(dns::decode(bytes), {name, type});
                          } catch (const dns::Error& error) {
                              why = error.what();
                          }
                          done(answer, why);
                      });
    }
    void late() {
        if (results_.empty()) return failed("no answer in time");
        for (auto& [key, result] : results_)
            if (!result) result = Result{{}, ttl_, key.first + ": no answer in time"};
        evaluate();
    }

    void take_targets(const dns::Answer& answer) {
        ttl_ = answer.ttl;
        groups_ = by_priority(answer.records);
        if (groups_.empty()) return failed(answer.exists ? "no targets" : "there is no such name");
        try {
            ask_group();
        } catch (const std::runtime_error& error) {
            failed(error.what());
        }
    }

    // The addresses of the most wanted group that is left.
    void ask_group() {
        const Targets& targets = groups_.begin()->second;
        results_.clear();
        waiting_.clear();
        for (const Target& target : targets)
            for (const Type type : {Type::a, Type::aaaa})
                if (results_.try_emplace({target.host, type}).second) waiting_.push_back({target.host, type});
        if (results_.size() > 2 * kMostTargets) throw std::runtime_error("more than 1000 targets");
        open();
        for (out_ = 0; out_ < kMostOut && !waiting_.empty(); ++out_) ask_next();
    }
    void ask_next() {
        const Key key = waiting_.front();
        waiting_.pop_front();
        ask(key.first, key.second,
            [this, key](const dns::Answer& answer, const std::string& why) { take(key, answer, why); });
    }
    void take(const Key& key, const dns::Answer& answer, const std::string& why) {
        Result result;
        if (!why.empty()) result.why = key.first + ": " + why;
        for (const dns::Record& record : answer.records)
            if (const auto address = address_of(record)) result.addresses.push_back(*address);
        if (!answer.records.empty()) result.ttl = answer.ttl;
        results_[key] = std::move(result);
        if (!waiting_.empty()) return ask_next();
        if (--out_ == 0) evaluate();
    }

    void evaluate() {
        end_channel();
        std::string why;
        std::uint32_t ttl = ttl_;
        for (auto& [key, result] : results_) {
            ttl = std::min(ttl, result->ttl);
            if (result->why.empty()) continue;
            if (why.empty()) why = result->why;
            // What was heard last stands for what failed, or a fault would take members away.
            if (const auto last = last_.find(key); last != last_.end()) result->addresses = last->second;
        }
        std::vector<Member> members = members_of(groups_.begin()->second);
        if (members.size() > kMostMembers) return failed("more than 10000 members");
        if (!members.empty()) return found(std::move(members), ttl, why);
        groups_.erase(groups_.begin());
        if (groups_.empty() || ++tried_ == kMostGroups) return failed(why.empty() ? "no addresses" : why);
        try {
            ask_group();
        } catch (const std::runtime_error& error) {
            failed(error.what());
        }
    }
    std::vector<Member> members_of(const Targets& targets) const {
        std::map<std::string, Member> by_address;  // two names may have one; the first is taken
        for (const Target& target : targets)
            for (const Type type : {Type::a, Type::aaaa})
                for (const ip::address& address : results_.at({target.host, type})->addresses) {
                    Member m;
                    m.address = address_text(address, target.port);
                    m.id = target.host + "/" + m.address;
                    by_address.try_emplace(m.address, m);
                }
        std::vector<Member> members;
        for (auto& [address, member] : by_address) members.push_back(std::move(member));
        return members;
    }

    // `why`: of the part that failed, if one did.
    void found(std::vector<Member> members, std::uint32_t ttl, const std::string& why) {
        last_.clear();
        for (auto& [key, result] : results_) last_[key] = std::move(result->addresses);
        results_.clear();
        after(why.empty() ? plan_.after_answer(ttl) : plan_.after_failure(),
              [](Asker& self) { self.begin(); });
        if (why.empty()) {
            teller_.well();
        } else {
            teller_.fail(described(why));
            if (closed_) return;
        }
        teller_.tell({++version_, true, std::move(members)});
    }
    void failed(const std::string& why) {
        end_channel();
        results_.clear();
        after(plan_.after_failure(), [](Asker& self) { self.begin(); });
        teller_.fail(described(why));
    }
    std::string described(const std::string& why) const {
        return "DNS " + (settings_.service.empty() ? settings_.host : settings_.service) + ": " + why;
    }

    asio::io_context& io_;
    DnsSettings settings_;
    Teller teller_;
    dns::Plan plan_;
    asio::steady_timer timer_;
    std::shared_ptr<dns::Channel> channel_;
    bool started_ = false, closed_ = false;
    std::uint64_t turn_ = 0, version_ = 0;

    // Of the look-up under way.
    std::map<std::uint16_t, Targets> groups_;  // not yet tried, by priority; the first is being tried
    std::size_t tried_ = 0;
    std::uint32_t ttl_ = 0;  // of what led to the groups, seconds
    std::map<Key, std::optional<Result>> results_;
    std::deque<Key> waiting_;
    std::size_t out_ = 0;

    std::map<Key, std::vector<ip::address>> last_;  // of the last look-up that found members
};

DnsSource::DnsSource(asio::io_context& io, DnsSettings settings, Callbacks callbacks)
    : asker_(std::make_shared<Asker>(io, std::move(settings), std::move(callbacks))) {}

DnsSource::~DnsSource() { asker_->close(); }

void DnsSource::start() { asker_->start(); }

void DnsSource::fetch() { asker_->fetch(); }

}  // namespace whinledge
