#include "fleet/rig.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <list>
#include <memory>
#include <numeric>
#include <optional>

#include "fleet/clock.hpp"
#include "fleet/connection_relay.hpp"
#include "fleet/datagram_relay.hpp"
#include "fleet/links.hpp"
#include "fleet/places.hpp"
#include "fleet/processes.hpp"
#include "fleet/report.hpp"
#include "fleet/scene.hpp"
#include "fleet/timeline.hpp"
#include "fleet/traffic.hpp"
#include "fleet/watch.hpp"

namespace whinledge::fleetrig {

namespace {

constexpr Millis kLook = 20;           // how often the rig looks whether it is done
constexpr Millis kLastAnswers = 2000;  // for what clients still wait for at the end
constexpr std::size_t kMany = 50;  // members; from there on they are asked less often for their whole view
constexpr std::size_t kStartTogether = 20;

std::vector<Node> all_members(const Experiment& e) {
    std::vector<Node> all(e.members);
    std::iota(all.begin(), all.end(), 0);
    return all;
}

class Run {
public:
    Run(const Experiment& experiment, const std::string& binary, const std::filesystem::path& folder,
        std::function<void(const Processes&)> settled)
        : experiment_(experiment),
          folder_(folder),
          on_settled_(std::move(settled)),
          places_(io_),
          record_(experiment.cast()),
          links_(experiment.seed),
          datagrams_(io_, places_, links_, clock_, record_.cast().member_of),
          connections_(io_, places_),
          servers_(io_, places_, clock_, record_, experiment.answer_after),
          processes_(io_, binary, folder, experiment, places_),
          watch_(io_, clock_, record_, experiment.period * (experiment.members < kMany ? 1 : 5)),
          timeline_(io_, {experiment, clock_, record_, processes_, watch_, links_, datagrams_, connections_,
                          [this](const Step& step) { return demand(step); }}),
          settled_(record_.cast(), all_members(experiment)),
          look_(io_),
          count_(io_) {
        record_.write_to((folder / "events.jsonl").string());
        record_.on_event = [this](const Event& event) { seen(event); };
        processes_.on_end = [this](Node node, int status) { timeline_.ended(node, status); };
    }

    Outcome play() {
        start_some(0);
        look();
        count();
        io_.run();
        finish();
        return outcome();
    }

private:
    void seen(const Event& event) {
        if (const auto* const lived = std::get_if<Lived>(&event.what)) {
            if (lived->life == Life::terminated) ending_.push_back(lived->node);
            if (lived->life == Life::started) std::erase(ending_, lived->node);
            if (lived->life == Life::ended &&
                std::find(ending_.begin(), ending_.end(), lived->node) == ending_.end())
                crashes_.push_back(record_.cast().nodes[lived->node] + " ended by itself with status " +
                                   std::to_string(lived->status));
        }
        checks_ ? checks_->see(event) : settled_.see(event);
    }

    // Not all in one moment: so many starts would hold up the relays.
    void start_some(Node from) {
        const Node until = std::min(experiment_.members, from + kStartTogether);
        for (Node n = from; n < until; ++n) timeline_.start(n);
        if (until == experiment_.members) return;
        starter_.expires_after(RunClock::span(kLook));
        starter_.async_wait([this, until](boost::system::error_code failed) {
            if (!failed) start_some(until);
        });
    }

    void look() {
        const Millis due = clock_.now() + kLook;
        look_.expires_at(clock_.when(due));
        look_.async_wait([this, due](boost::system::error_code failed) {
            if (failed) return;
            const Millis now = clock_.now();
            if (checks_) lateness_ = std::max(lateness_, now - due);
            if (!checks_)
                await_settled(now);
            else
                checks_->pass_time(now);
            if (done(now)) return io_.stop();
            look();
        });
    }

    bool is_settled() const {
        if (settled_.observers() != experiment_.members || !settled_.views_equal()) return false;
        for (Member m = 0; m < experiment_.members; ++m)
            if (settled_.holders(m, Belief::alive) != settled_.judges(m) || settled_.standing(m) != "joined")
                return false;
        return true;
    }
    void await_settled(Millis now) {
        const bool settled = is_settled();
        gave_up_ = !settled && now > experiment_.settles_within;
        if (!settled && !gave_up_ && crashes_.empty()) return;
        settled_after_ = now;
        if (!settled) return;
        record_.add({now, Done{"settled", now}});
        if (on_settled_) on_settled_(processes_);
        checks_ = std::make_unique<Checks>(experiment_, record_, now);
        zero_ = now;
        timeline_.begin();
        clients_.emplace(io_, places_, clock_, record_, experiment_.clients,
                         [this](Node n) { return watch_.up(n); });
    }
    // What they ask stays until the end of the run; further ones end with the step.
    std::shared_ptr<void> demand(const Step& step) {
        const auto from = [this, &step](Node n) {
            return watch_.up(n) && std::find(step.from.begin(), step.from.end(), n) != step.from.end();
        };
        Clients& more = more_.emplace_back(io_, places_, clock_, record_, step.rate, from,
                                           "d" + std::to_string(more_.size()) + "-");
        return {nullptr, [&more](void*) { more.stop(); }};
    }
    bool done(Millis now) const {
        if (!crashes_.empty() || gave_up_) return true;
        return checks_ && timeline_.over() && now >= zero_ + experiment_.least && !checks_->wait(now);
    }

    // Datagrams each P, memory and processor time each 5 P.
    void count() {
        count_.expires_after(RunClock::span(experiment_.period));
        count_.async_wait([this](boost::system::error_code failed) {
            if (failed) return;
            record_.add({clock_.now(), Counted{datagrams_.sent(), datagrams_.sent_bytes()}});
            if (++counts_ % 5 == 0) weigh();
            count();
        });
    }
    void weigh() {
        for (Node n = 0; n < experiment_.nodes(); ++n)
            if (processes_.runs(n))
                record_.add({clock_.now(), Weighed{n, processes_.resident_kib(n), processes_.busy(n)}});
    }

    // What clients have asked may still be answered; then it counts.
    void finish() {
        count_.cancel();
        if (clients_) {
            clients_->stop();
            const Millis until = clock_.now() + kLastAnswers;
            io_.restart();
            for (Clients& more : more_) more.stop();
            const auto open = [this] {
                return clients_->open() > 0 ||
                       std::any_of(more_.begin(), more_.end(), [](const Clients& c) { return c.open() > 0; });
            };
            while (open() && clock_.now() < until) io_.run_one_for(std::chrono::milliseconds(10));
            clients_->finish();
            for (Clients& more : more_) more.finish();
        }
        watch_.finish();
        record_.add({clock_.now(), Counted{datagrams_.sent(), datagrams_.sent_bytes()}});
        weigh();
    }

    Outcome outcome() {
        Outcome o;
        if (checks_) o.results = checks_->results();
        if (!checks_)
            o.results.push_back({"the fleet settles", false, gave_up_ ? lacking() : "a process has ended"});
        o.results.push_back(
            {"no process ends by itself", crashes_.empty(), crashes_.empty() ? "none" : crashes_.front()});
        o.results.push_back({"no datagram is longer than 256 bytes", datagrams_.longest() <= 256,
                             std::to_string(datagrams_.longest()) + " bytes at most"});
        o.passed = std::all_of(o.results.begin(), o.results.end(), [](const Result& r) { return r.passed; });
        o.detections = detections(record_);
        o.settled_after = settled_after_;
        o.overrun = datagrams_.overrun();
        o.strange = datagrams_.strange();
        o.lateness = lateness_;
        o.longest_datagram = datagrams_.longest();
        for (Node n = 0; n < experiment_.members; ++n)
            if (const std::uint64_t kib = processes_.resident_kib(n)) {
                o.least_kib = o.least_kib ? std::min(o.least_kib, kib) : kib;
                o.most_kib = std::max(o.most_kib, kib);
            }
        write_report((folder_ / "report.html").string(), experiment_, record_, o, checks_ ? zero_ : 0);
        return o;
    }
    std::string lacking() const {
        std::size_t up = 0, joined = 0;
        for (Node n = 0; n < experiment_.members; ++n) {
            up += settled_.observes(n);
            joined += settled_.standing(n) == "joined";
        }
        return std::to_string(up) + " of " + std::to_string(experiment_.members) + " answered, " +
               std::to_string(joined) + " joined; logs in " + folder_.string();
    }

    const Experiment& experiment_;
    std::filesystem::path folder_;
    std::function<void(const Processes&)> on_settled_;
    boost::asio::io_context io_{1};
    RunClock clock_;
    Places places_;
    Record record_;
    Links links_;
    DatagramRelay datagrams_;
    ConnectionRelay connections_;
    Servers servers_;
    Processes processes_;
    Watch watch_;
    Timeline timeline_;
    std::optional<Clients> clients_;
    std::list<Clients> more_;
    Scene settled_;  // until the fleet has settled
    std::unique_ptr<Checks> checks_;
    boost::asio::steady_timer look_, count_, starter_{io_};
    std::vector<Node> ending_;
    std::vector<std::string> crashes_;
    Millis zero_ = 0, settled_after_ = 0, lateness_ = 0;
    bool gave_up_ = false;
    std::size_t counts_ = 0;
};

}  // namespace

Outcome run(const Experiment& experiment, const std::string& binary, const std::filesystem::path& folder,
            const std::function<void(const Processes&)>& settled) {
    std::filesystem::create_directories(folder);
    return Run(experiment, binary, folder, settled).play();
}

std::string summary_of(const Experiment& e, const Record::Cast& cast, const Outcome& o) {
    std::string text = e.title + ": " + std::to_string(e.members) +
                       " members, P = " + std::to_string(static_cast<long>(e.period)) + " ms, seed " +
                       std::to_string(e.seed) + "\n";
    char line[256];
    for (const Result& r : o.results)
        text += std::string(r.passed ? "  holds  " : "  FAILS  ") + r.condition + ": " + r.seen + "\n";
    const auto periods = [&](Millis length) { return length / cast.period; };
    std::vector<Millis> all;
    for (const Detection& d : o.detections) {
        if (d.took.empty()) continue;
        std::snprintf(line, sizeof line,
                      "  %s killed: held failed by %zu, median %.2f P, worst %.2f P, missing %zu\n",
                      cast.members[d.member].c_str(), d.took.size(), periods(d.took[d.took.size() / 2]),
                      periods(d.took.back()), d.missing);
        text += line;
        all.insert(all.end(), d.took.begin(), d.took.end());
    }
    std::sort(all.begin(), all.end());
    if (all.size() > 1) {
        std::snprintf(line, sizeof line,
                      "  kill to failed, %zu of them: median %.2f P, 99 %% %.2f P, worst %.2f P\n",
                      all.size(), periods(all[all.size() / 2]), periods(all[all.size() * 99 / 100]),
                      periods(all.back()));
        text += line;
    }
    std::snprintf(line, sizeof line,
                  "  settled after %.1f P; resident %lu to %lu KiB; of the rig: lost %lu, strange %lu, late "
                  "by %.0f ms at most\n",
                  periods(o.settled_after), static_cast<unsigned long>(o.least_kib),
                  static_cast<unsigned long>(o.most_kib), static_cast<unsigned long>(o.overrun),
                  static_cast<unsigned long>(o.strange), o.lateness);
    return text + line;
}

}  // namespace whinledge::fleetrig
