#include "lab/trial.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include "lab/agents.hpp"
#include "lab/cloud.hpp"
#include "lab/program_plan.hpp"
#include "lab/proxy.hpp"
#include "lab/simulation.hpp"
#include "lab/victims.hpp"

namespace whinledge::lab {

namespace {

constexpr Millis kStart = 1e6;             // of the clock, so that no time in it is 0
constexpr Millis kLeadMs = 1000;           // that proxies have ahead of the traffic
constexpr Millis kOpeningsPace = 300;      // between two sums of what proxies have seen
constexpr Millis kOpeningsAge = 400;       // of a sum that proxies are told
constexpr std::uint64_t kProxyDraws = 21;  // names the seeds of proxies

class Trial {
public:
    Trial(const Experiment& experiment, const Arm& arm, std::uint64_t seed)
        : experiment_(experiment),
          arm_(arm),
          seed_(seed),
          simulation_(kStart),
          plans_(plan_programs(experiment, seed)),
          cloud_(experiment, simulation_, measures_, seed),
          agents_(experiment, simulation_, measures_, seed),
          load_members_(experiment.deployment, simulation_, seed) {}

    Measures run() {
        for (int i = 0; i < experiment_.deployment.proxies; ++i)
            proxies_.push_back(make_proxy(static_cast<std::size_t>(i), 0));
        fronts_.assign(proxies_.begin(), proxies_.end());
        agents_.set_fronts(&fronts_);
        const Millis begins = kStart + kLeadMs;
        for (const ProgramPlan& plan : plans_)
            simulation_.at(begins + plan.arrives, [this, &plan] { agents_.begin(plan); });
        for (std::size_t i = 0; i < experiment_.troubles.size(); ++i) plan_trouble(i, begins);
        if (arm_.shared_openings) share_openings();
        simulation_.run_until(begins + experiment_.traffic_ms + experiment_.finish_ms);
        agents_.finish();
        cloud_.count_open();
        measures_.happened = simulation_.happened();
        return std::move(measures_);
    }

private:
    std::shared_ptr<Proxy> make_proxy(std::size_t number, std::uint64_t start) {
        Proxy::Where where;
        where.number = number;
        where.zone = number % experiment_.deployment.zones.size();
        if (arm_.shared_loads) where.load_members = &load_members_;
        where.seed = Random({seed_, kProxyDraws, number, start}).next();
        auto proxy = Proxy::make(experiment_, arm_, where, simulation_, cloud_, agents_, measures_);
        proxy->set_servers();
        return proxy;
    }

    void plan_trouble(std::size_t index, Millis begins) {
        const Trouble& trouble = experiment_.troubles[index];
        if (trouble.kind == TroubleKind::burst) return;  // the plans have it
        const bool of_proxies = trouble.kind == TroubleKind::proxy_restart;
        const auto among = static_cast<std::size_t>(of_proxies ? experiment_.deployment.proxies
                                                               : experiment_.deployment.model_servers);
        for (const std::size_t one : victims(trouble, {seed_, index}, among)) {
            simulation_.at(begins + trouble.at, [this, &trouble, one] { begin(trouble, one); });
            simulation_.at(begins + trouble.at + trouble.lasts, [this, &trouble, one] { end(trouble, one); });
        }
    }

    void begin(const Trouble& trouble, std::size_t one) {
        switch (trouble.kind) {
            case TroubleKind::slow:
                return cloud_.set_slowdown(one, trouble.factor);
            case TroubleKind::answer_lost:
                return cloud_.set_lost(one, trouble.share);
            case TroubleKind::grey:
                return cloud_.set_grey(one, trouble.share);
            case TroubleKind::hang:
                return cloud_.set_frozen(one, true);
            case TroubleKind::crash:
                cloud_.crash(one);
                return tell_list();
            case TroubleKind::proxy_restart:
                return restart_proxy(one);
            case TroubleKind::burst:
                return;
        }
    }

    void end(const Trouble& trouble, std::size_t one) {
        switch (trouble.kind) {
            case TroubleKind::slow:
                return cloud_.set_slowdown(one, 1);
            case TroubleKind::answer_lost:
                return cloud_.set_lost(one, 0);
            case TroubleKind::grey:
                return cloud_.set_grey(one, 0);
            case TroubleKind::hang:
                return cloud_.set_frozen(one, false);
            case TroubleKind::crash:
                cloud_.restart(one);
                return tell_list();
            default:
                return;
        }
    }

    // All proxies are told the sum of what each has seen, by when it is some time old.
    void share_openings() {
        openings::TrafficSum sum;
        for (const auto& proxy : proxies_) sum.add(proxy->busiest_openings());
        const openings::Traffic heaviest = sum.heaviest(openings::kMostSummedOpenings);
        simulation_.in(kOpeningsAge, [this, heaviest] {
            for (const auto& proxy : proxies_) proxy->set_shared_openings(heaviest);
        });
        simulation_.in(kOpeningsPace, [this] { share_openings(); });
    }

    void tell_list() {
        simulation_.in(experiment_.deployment.list_delay_ms, [this] {
            for (const auto& proxy : proxies_) proxy->set_servers();
        });
    }

    // One that has forgotten all takes its place at once.
    void restart_proxy(std::size_t number) {
        const auto old = proxies_[number];
        proxies_[number] = make_proxy(number, ++restarts_);
        fronts_[number] = proxies_[number];
        agents_.closed(old->die());
    }

    const Experiment& experiment_;
    const Arm& arm_;
    std::uint64_t seed_;
    Measures measures_;
    Simulation simulation_;
    std::vector<ProgramPlan> plans_;
    Cloud cloud_;
    Agents agents_;
    LoadMembers load_members_;
    std::vector<std::shared_ptr<Proxy>> proxies_;
    std::vector<std::shared_ptr<Front>> fronts_;  // the same
    std::uint64_t restarts_ = 0;
};

}  // namespace

Measures run_trial(const Experiment& experiment, const Arm& arm, std::uint64_t seed) {
    return Trial(experiment, arm, seed).run();
}

}  // namespace whinledge::lab
