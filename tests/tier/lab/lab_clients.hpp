// Clients of a few simulated proxies and model servers, for tests that say themselves who asks for what, when
// and through which proxy: no programs drawn by seed. Times are counted from the first request that may come.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/cloud.hpp"
#include "lab/proxy.hpp"
#include "lab/simulation.hpp"
#include "lab_experiment.hpp"

namespace whinledge::lab {

class LabClients final : public ClientSink {
public:
    // A request's course, over all its tries.
    struct Course {
        Millis asked = 0;
        Millis began = -1;  // its first event; -1: there was none
        Millis ended = -1;  // -1: it has not
        int ends = 0;       // told to its client
        int refusals = 0;   // behind each of them it comes again
        bool served = false;
        ClientRequest request{};
        std::size_t proxy = 0;
        Millis waited() const { return began - asked; }
    };

    LabClients(Experiment experiment, Arm arm, std::uint64_t seed)
        : experiment_(std::move(experiment)),
          arm_(std::move(arm)),
          simulation_(kStart),
          cloud_(experiment_, simulation_, measures_, seed) {
        const std::size_t zones = experiment_.deployment.zones.size();
        for (std::size_t i = 0; i < static_cast<std::size_t>(experiment_.deployment.proxies); ++i) {
            const Proxy::Where where{i, i % zones, seed * 1000 + i};
            proxies_.push_back(Proxy::make(experiment_, arm_, where, simulation_, cloud_, *this, measures_));
            proxies_.back()->set_servers();
        }
        simulation_.run_until(kStart + kLead);
    }

    Millis now() const { return simulation_.now() - kStart - kLead; }
    void run_until(Millis end) { simulation_.run_until(kStart + kLead + end); }

    // Asks at that time; the index of its course.
    std::size_t ask_at(Millis when, std::size_t proxy, const ClientRequest& request) {
        const std::size_t index = courses_.size();
        courses_.push_back({});
        courses_[index].asked = when;
        courses_[index].request = request;
        courses_[index].proxy = proxy;
        simulation_.at(kStart + kLead + when, [this, index] { send(index); });
        return index;
    }

    // Until all have ended, or that time.
    void run_to_the_end(Millis bound) {
        while (now() < bound && open() > 0) run_until(now() + kLook);
        cloud_.count_open();
    }
    std::size_t open() const {
        std::size_t count = 0;
        for (const Course& course : courses_)
            if (course.ended < 0) ++count;
        return count;
    }

    const std::vector<Course>& courses() const { return courses_; }
    const Course& course(std::size_t index) const { return courses_[index]; }
    const Measures& measures() const { return measures_; }

    void answered(TryId id, ClientWord word, Millis retry_in) override {
        const std::size_t index = tries_.at(id);
        Course& course = courses_[index];
        if (word == ClientWord::piece) {
            if (course.began < 0) course.began = now();
            return;
        }
        if (word == ClientWord::refused) {
            ++course.refusals;
            return simulation_.in(retry_in, [this, index] { send(index); });
        }
        ++course.ends;
        course.ended = now();
        course.served = word == ClientWord::done;
    }

private:
    static constexpr Millis kStart = 1e6;  // of the clock, so that no time in it is 0
    static constexpr Millis kLead = 1000;  // that proxies have ahead of the first request
    static constexpr Millis kLook = 50;    // between looks at whether all have ended

    // The time that its client and its program have goes on while it is refused.
    void send(std::size_t index) {
        const Course& course = courses_[index];
        ClientRequest request = course.request;
        request.id = next_try_++;
        request.time_left -= now() - course.asked;
        request.finish_ms -= now() - course.asked;
        tries_[request.id] = index;
        proxies_[course.proxy]->take(request);
    }

    Experiment experiment_;
    Arm arm_;
    Measures measures_;
    Simulation simulation_;
    Cloud cloud_;
    std::vector<Course> courses_;
    std::unordered_map<TryId, std::size_t> tries_;
    TryId next_try_ = 1;
    std::vector<std::shared_ptr<Proxy>> proxies_;
};

// A turn of a program whose prompt is of these parts.
inline ClientRequest turn_of(std::uint64_t program, std::vector<PromptPart> parts, std::int64_t out) {
    ClientRequest turn;
    turn.is_turn = true;
    turn.tries = 2;
    turn.time_left = turn.finish_ms = 60000;
    turn.program = turn.session = program;
    turn.out = out;
    turn.prompt.model = 1;
    turn.prompt.parts = std::move(parts);
    for (const PromptPart& part : turn.prompt.parts) turn.prompt.tokens.prompt += part.tokens;
    turn.prompt.tokens.most_out = out;
    turn.bytes = 1.4 * static_cast<double>(turn.prompt.tokens.prompt);
    turn.prompt.bytes = static_cast<std::int64_t>(turn.bytes);
    turn.prompt.line = turn.prompt.program = program;
    return turn;
}

}  // namespace whinledge::lab
