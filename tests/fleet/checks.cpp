#include "fleet/checks.hpp"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>

#include "fleet/scene.hpp"

namespace whinledge::fleetrig {

namespace {

using Kind = Condition::Kind;

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
// Views that agree for a moment may do so before anybody has noticed anything.
constexpr double kAgreeFor = 2;  // P

std::string number(double value, int digits = 1) {
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

// The window of a condition, on the rig's clock.
struct Window {
    Millis from, until;
    bool has(Millis at) const { return at >= from && at <= until; }
};

class Base : public Check {
public:
    Base(const Condition& condition, const Record::Cast& cast, Millis zero)
        : condition_(condition),
          cast_(cast),
          window_{zero + condition.after,
                  condition.within > 0 ? zero + condition.after + condition.within : kNever},
          scene_(cast, condition.who) {}
    Result result() const override { return {condition_.text, passed(), seen()}; }

protected:
    virtual bool passed() const = 0;
    virtual std::string seen() const = 0;
    std::string in_periods(Millis length) const {
        return number(length / cast_.period, 2) + " P (" + number(length, 0) + " ms)";
    }

    const Condition& condition_;
    const Record::Cast& cast_;
    Window window_;
    Scene scene_;
};

// Comes true within the window, and stays so for a while.
class Eventually : public Base {
public:
    Eventually(const Condition& condition, const Record::Cast& cast, Millis zero, Millis lasts)
        : Base(condition, cast, zero), lasts_(lasts) {}
    void see(const Event& event) override {
        pass_time(event.at);
        scene_.see(event);
        const bool now = holds();
        if (!now) since_.reset();
        if (now && !since_) since_ = event.at;
    }
    void pass_time(Millis now) override {
        if (came_ || !since_) return;
        const Millis begun = std::max(*since_, window_.from);
        if (begun <= window_.until && now >= begun + lasts_ && now >= window_.from) came_ = begun;
    }
    // What has begun to hold in time has its while after the window too.
    bool waits(Millis now) const override { return !came_ && now <= window_.until + lasts_; }

protected:
    virtual bool holds() const = 0;
    virtual std::string lacks() const = 0;
    bool passed() const override { return came_.has_value(); }
    std::string seen() const override {
        return came_ ? "after " + in_periods(*came_ - window_.from)
                     : "never within " + in_periods(window_.until - window_.from) + ": " + lacks();
    }

private:
    Millis lasts_;
    std::optional<Millis> since_, came_;
};

class AllHold final : public Eventually {
public:
    AllHold(const Condition& c, const Record::Cast& cast, Millis zero) : Eventually(c, cast, zero, 0) {}

private:
    bool holds() const override {
        return std::all_of(condition_.members.begin(), condition_.members.end(), [&](Member m) {
            return scene_.judges(m) > 0 && scene_.holders(m, condition_.belief) == scene_.judges(m);
        });
    }
    std::string lacks() const override {
        for (const Member m : condition_.members)
            for (const Node n : scene_.who())
                if (scene_.observes(n) && cast_.member_of[n] != m && scene_.belief(n, m) != condition_.belief)
                    return cast_.nodes[n] + " holds " + cast_.members[m] + " " +
                           std::string(name_of(scene_.belief(n, m))) + " in the end";
        return "it held in the end alone, or nobody observed";
    }
};

class ViewsEqual final : public Eventually {
public:
    ViewsEqual(const Condition& c, const Record::Cast& cast, Millis zero)
        : Eventually(c, cast, zero, kAgreeFor * cast.period) {}

private:
    bool holds() const override { return scene_.views_equal(); }
    std::string lacks() const override {
        return scene_.views_equal() ? "they were in the end" : "they differ in the end";
    }
};

class Standing final : public Eventually {
public:
    Standing(const Condition& c, const Record::Cast& cast, Millis zero) : Eventually(c, cast, zero, 0) {}

private:
    bool holds() const override {
        return scene_.observers() > 0 && std::all_of(scene_.who().begin(), scene_.who().end(), [&](Node n) {
                   return !scene_.observes(n) || scene_.standing(n) == condition_.standing;
               });
    }
    std::string lacks() const override {
        for (const Node n : scene_.who())
            if (scene_.observes(n) && scene_.standing(n) != condition_.standing)
                return cast_.nodes[n] + " is " + scene_.standing(n) + " in the end";
        return "it held in the end alone, or nobody observed";
    }
};

class Ended final : public Eventually {
public:
    Ended(const Condition& c, const Record::Cast& cast, Millis zero) : Eventually(c, cast, zero, 0) {}
    void see(const Event& event) override {
        if (const auto* const lived = std::get_if<Lived>(&event.what); lived && lived->life == Life::ended)
            if (lived->status == condition_.status) ended_[lived->node] = true;
        Eventually::see(event);
    }

private:
    bool holds() const override {
        return std::all_of(condition_.members.begin(), condition_.members.end(),
                           [&](Node n) { return ended_.contains(n); });
    }
    std::string lacks() const override { return "not all ended so"; }
    std::map<Node, bool> ended_;
};

// Nothing may happen that is against it.
class Always : public Base {
public:
    using Base::Base;

protected:
    void against(std::string what) {
        if (count_++ == 0) first_ = std::move(what);
    }
    bool passed() const override { return count_ == 0; }
    std::string seen() const override {
        return count_ == 0 ? "never" : std::to_string(count_) + " times; first: " + first_;
    }

private:
    std::size_t count_ = 0;
    std::string first_;
};

class NeverHeld final : public Always {
public:
    using Always::Always;
    void see(const Event& event) override {
        if (!opened_ && event.at >= window_.from) open();
        scene_.see(event);
        const auto* const held = std::get_if<Held>(&event.what);
        if (!held || !window_.has(event.at) || held->belief != condition_.belief) return;
        const auto& members = condition_.members;
        const bool of = std::find(members.begin(), members.end(), held->member) != members.end();
        const auto& who = scene_.who();
        const bool by = std::find(who.begin(), who.end(), held->node) != who.end();
        if (of && by) say(held->node, held->member, event.at);
    }

private:
    // What is believed already when the window opens.
    void open() {
        opened_ = true;
        for (const Node n : scene_.who())
            for (const Member m : condition_.members)
                if (scene_.observes(n) && cast_.member_of[n] != m && scene_.belief(n, m) == condition_.belief)
                    say(n, m, window_.from);
    }
    void say(Node n, Member m, Millis at) {
        against(cast_.nodes[n] + " held " + cast_.members[m] + " " + std::string(name_of(condition_.belief)) +
                " at " + in_periods(at - window_.from + condition_.after));
    }
    bool opened_ = false;
};

class NeverStanding final : public Always {
public:
    using Always::Always;
    void see(const Event& event) override {
        if (!opened_ && event.at >= window_.from) {
            opened_ = true;
            for (const Node n : scene_.who())
                if (scene_.observes(n) && scene_.standing(n) == condition_.standing)
                    against(cast_.nodes[n] + " was so from the first");
        }
        scene_.see(event);
        const auto* const stood = std::get_if<Stood>(&event.what);
        if (!stood || !window_.has(event.at) || stood->standing != condition_.standing) return;
        const auto& who = scene_.who();
        if (std::find(who.begin(), who.end(), stood->node) == who.end()) return;
        against(cast_.nodes[stood->node] + " at " + in_periods(event.at - window_.from + condition_.after));
    }

private:
    bool opened_ = false;
};

// What clients got through nodes that ran from the request to its end.
class AnsweredShare final : public Base {
public:
    using Base::Base;
    void see(const Event& event) override {
        scene_.see(event);
        const auto* const called = std::get_if<Called>(&event.what);
        if (!called || !window_.has(called->sent_at)) return;
        const auto& who = scene_.who();
        if (std::find(who.begin(), who.end(), called->node) == who.end()) return;
        if (scene_.runs_since(called->node) > called->sent_at) return;
        ++asked_;
        took_.push_back(event.at - called->sent_at);
        if (called->status == 200) {
            ++answered_;
        } else if (first_.empty()) {
            first_ = "; first: " + called->method + " through " + cast_.nodes[called->node] + ": " +
                     (called->status == 0 ? std::string("no answer") : std::to_string(called->status));
        }
    }

private:
    bool passed() const override {
        return asked_ > 0 && static_cast<double>(answered_) >= condition_.least * static_cast<double>(asked_);
    }
    std::string seen() const override {
        std::vector<Millis> took = took_;
        std::sort(took.begin(), took.end());
        return std::to_string(answered_) + " of " + std::to_string(asked_) + first_ +
               (took.empty() ? "" : "; longest " + number(took.back()) + " ms");
    }
    std::size_t asked_ = 0, answered_ = 0;
    std::string first_;
    std::vector<Millis> took_;
};

class NoRepeats final : public Base {
public:
    using Base::Base;
    void see(const Event& event) override {
        const auto* const served = std::get_if<Served>(&event.what);
        if (!served || served->method != "POST") return;
        if (++times_[served->id] == 2 && first_.empty()) first_ = "; first: " + served->id;
    }

private:
    std::size_t repeated() const {
        return static_cast<std::size_t>(
            std::count_if(times_.begin(), times_.end(), [](const auto& one) { return one.second > 1; }));
    }
    bool passed() const override { return !times_.empty() && repeated() == 0; }
    std::string seen() const override {
        return std::to_string(repeated()) + " of " + std::to_string(times_.size()) + " changes" + first_;
    }
    std::map<std::string, int> times_;
    std::string first_;
};

// In any window of that length, by when servers had read them.
class Received final : public Base {
public:
    using Base::Base;
    void see(const Event& event) override {
        const auto* const served = std::get_if<Served>(&event.what);
        last_ = event.at;
        if (!served || !window_.has(event.at)) return;
        ++count_;
        recent_.push_back(event.at);
        while (recent_.front() <= event.at - condition_.window) recent_.pop_front();
        most_ = std::max(most_, recent_.size());
    }

private:
    double a_second() const {
        const Millis length = std::min(last_, window_.until) - window_.from;
        return length > 0 ? static_cast<double>(count_) * 1000 / length : 0;
    }
    bool passed() const override {
        return (condition_.most <= 0 || static_cast<double>(most_) <= condition_.most) &&
               a_second() >= condition_.least;
    }
    std::string seen() const override {
        return std::to_string(most_) + " in " + number(condition_.window, 0) + " ms at most (bound " +
               number(condition_.most, 0) + "), " + number(a_second()) + " a second on the mean (least " +
               number(condition_.least) + ")";
    }
    std::deque<Millis> recent_;
    std::size_t count_ = 0, most_ = 0;
    Millis last_ = 0;
};

class Open final : public Base {
public:
    using Base::Base;
    void see(const Event& event) override {
        const auto* const served = std::get_if<Served>(&event.what);
        if (served && window_.has(event.at)) most_ = std::max(most_, served->open), ++count_;
    }

private:
    bool passed() const override { return count_ > 0 && static_cast<double>(most_) <= condition_.most; }
    std::string seen() const override {
        return std::to_string(most_) + " at once at most (bound " + number(condition_.most, 0) + "), " +
               std::to_string(count_) + " requests";
    }
    std::size_t most_ = 0, count_ = 0;
};

class Datagrams final : public Base {
public:
    using Base::Base;
    void see(const Event& event) override {
        scene_.see(event);
        const auto* const counted = std::get_if<Counted>(&event.what);
        if (!counted || !window_.has(event.at)) return;
        if (!first_) first_ = {event.at, *counted};
        last_ = {event.at, *counted};
    }

private:
    struct Sample {
        Millis at;
        Counted counted;
    };
    // A round of one of those that ran all the while.
    std::vector<double> rates(const std::vector<std::uint64_t> Counted::*what) const {
        std::vector<double> all;
        if (!first_ || last_->at <= first_->at) return all;
        for (const Node n : scene_.who())
            if (scene_.runs_since(n) <= first_->at)
                all.push_back(static_cast<double>((last_->counted.*what)[n] - (first_->counted.*what)[n]) /
                              ((last_->at - first_->at) / cast_.period));
        return all;
    }
    static double mean(const std::vector<double>& all) {
        double sum = 0;
        for (const double one : all) sum += one;
        return all.empty() ? kNever : sum / static_cast<double>(all.size());
    }
    bool passed() const override { return mean(rates(&Counted::datagrams)) <= condition_.most; }
    std::string seen() const override {
        const std::vector<double> all = rates(&Counted::datagrams);
        if (all.empty()) return "nothing was counted";
        return number(mean(all), 2) + " a round of a member, " +
               number(*std::max_element(all.begin(), all.end()), 2) + " of the one that sent most; " +
               number(mean(rates(&Counted::bytes)), 0) + " bytes";
    }
    std::optional<Sample> first_, last_;
};

class Socket final : public Always {
public:
    using Always::Always;
    void see(const Event& event) override {
        scene_.see(event);
        const auto* const asked = std::get_if<Asked>(&event.what);
        const Millis since = asked ? event.at - asked->took : 0;
        if (!asked || !window_.has(since)) return;
        const auto& who = scene_.who();
        if (std::find(who.begin(), who.end(), asked->node) == who.end()) return;
        if (scene_.runs_since(asked->node) > since) return;
        ++asked_;
        longest_ = std::max(longest_, asked->took);
        if (asked->took > condition_.most)
            against(cast_.nodes[asked->node] + " after " + number(asked->took) + " ms");
    }

private:
    bool passed() const override { return asked_ > 0 && Always::passed(); }
    std::string seen() const override {
        return std::to_string(asked_) + " answers, the longest after " + number(longest_) + " ms" +
               (Always::passed() ? "" : "; too late " + Always::seen());
    }
    std::size_t asked_ = 0;
    Millis longest_ = 0;
};

class Memory final : public Base {
public:
    using Base::Base;
    void see(const Event& event) override {
        if (const auto* const weighed = std::get_if<Weighed>(&event.what))
            worst_ = std::max(worst_, static_cast<double>(weighed->resident));
    }

private:
    bool passed() const override { return worst_ > 0 && worst_ <= condition_.most; }
    std::string seen() const override { return number(worst_, 0) + " KiB at most"; }
    double worst_ = 0;
};

// From the first look at a process that ran all the while to the last.
class Busy final : public Base {
public:
    using Base::Base;
    void see(const Event& event) override {
        scene_.see(event);
        const auto* const weighed = std::get_if<Weighed>(&event.what);
        if (!weighed || !window_.has(event.at)) return;
        const auto& who = scene_.who();
        if (std::find(who.begin(), who.end(), weighed->node) == who.end()) return;
        auto& [first, last] = seen_.try_emplace(weighed->node, event, event).first->second;
        if (scene_.runs_since(weighed->node) > first.at) first = event;
        last = event;
    }

private:
    // The busiest one's, ms a second; nothing: none was looked at twice.
    std::optional<std::pair<Node, double>> worst() const {
        std::optional<std::pair<Node, double>> found;
        for (const auto& [node, looks] : seen_) {
            const auto& [first, last] = looks;
            if (last.at <= first.at) continue;
            const double rate = (std::get<Weighed>(last.what).busy - std::get<Weighed>(first.what).busy) *
                                1000 / (last.at - first.at);
            if (!found || rate > found->second) found.emplace(node, rate);
        }
        return found;
    }
    bool passed() const override { return worst() && worst()->second <= condition_.most; }
    std::string seen() const override {
        const auto found = worst();
        return found ? number(found->second) + " ms a second of " + cast_.nodes[found->first]
                     : "none was looked at twice";
    }
    std::map<Node, std::pair<Event, Event>> seen_;
};

template <class T>
std::unique_ptr<Check> make(const Condition& c, const Record::Cast& cast, Millis zero) {
    return std::make_unique<T>(c, cast, zero);
}

std::unique_ptr<Check> check_of(const Condition& c, const Record::Cast& cast, Millis zero) {
    switch (c.kind) {
        case Kind::all_hold:
            return make<AllHold>(c, cast, zero);
        case Kind::never:
            return make<NeverHeld>(c, cast, zero);
        case Kind::views_equal:
            return make<ViewsEqual>(c, cast, zero);
        case Kind::standing:
            return make<Standing>(c, cast, zero);
        case Kind::never_standing:
            return make<NeverStanding>(c, cast, zero);
        case Kind::answered:
            return make<AnsweredShare>(c, cast, zero);
        case Kind::no_repeats:
            return make<NoRepeats>(c, cast, zero);
        case Kind::datagrams:
            return make<Datagrams>(c, cast, zero);
        case Kind::socket:
            return make<Socket>(c, cast, zero);
        case Kind::ended:
            return make<Ended>(c, cast, zero);
        case Kind::busy:
            return make<Busy>(c, cast, zero);
        case Kind::memory:
            return make<Memory>(c, cast, zero);
        case Kind::received:
            return make<Received>(c, cast, zero);
        case Kind::open:
            return make<Open>(c, cast, zero);
    }
    return nullptr;
}

}  // namespace

Checks::Checks(const Experiment& experiment, const Record& record, Millis zero) {
    for (const Condition& condition : experiment.conditions)
        checks_.push_back(check_of(condition, record.cast(), zero));
    for (const Event& event : record.events()) see(event);
}

void Checks::see(const Event& event) {
    for (const auto& check : checks_) check->see(event);
}

void Checks::pass_time(Millis now) {
    for (const auto& check : checks_) check->pass_time(now);
}

bool Checks::wait(Millis now) const {
    return std::any_of(checks_.begin(), checks_.end(),
                       [now](const auto& check) { return check->waits(now); });
}

std::vector<Result> Checks::results() const {
    std::vector<Result> results;
    for (const auto& check : checks_) results.push_back(check->result());
    return results;
}

// ---- Detections -------------------------------------------------------------------------------------------

std::vector<Detection> detections(const Record& record) {
    const Record::Cast& cast = record.cast();
    const std::size_t members = cast.members.size();
    std::vector<Node> all(members);
    for (Node n = 0; n < members; ++n) all[n] = n;
    Scene scene(cast, all);
    struct Open {
        Detection detection;
        std::map<Node, Millis> first;
    };
    std::map<Member, Open> open;
    std::vector<Detection> done;
    const auto close = [&](Member m) {
        const auto at = open.find(m);
        if (at == open.end()) return;
        Detection& d = at->second.detection;
        for (const Node n : all)
            if (n != m && scene.observes(n)) {
                const auto found = at->second.first.find(n);
                found == at->second.first.end() ? void(++d.missing) : d.took.push_back(found->second - d.at);
            }
        std::sort(d.took.begin(), d.took.end());
        done.push_back(std::move(d));
        open.erase(at);
    };
    for (const Event& event : record.events()) {
        const auto* const lived = std::get_if<Lived>(&event.what);
        if (lived && lived->node < members && lived->life == Life::started) close(lived->node);
        scene.see(event);
        if (lived && lived->node < members && lived->life == Life::killed)
            open[lived->node] = {{lived->node, event.at, {}, 0}, {}};
        const auto* const held = std::get_if<Held>(&event.what);
        if (!held || held->belief != Belief::failed) continue;
        if (const auto at = open.find(held->member); at != open.end())
            at->second.first.try_emplace(held->node, event.at);
    }
    while (!open.empty()) close(open.begin()->first);
    return done;
}

}  // namespace whinledge::fleetrig
