#include "fleet/timeline.hpp"

#include <algorithm>
#include <csignal>

#include "fleet/datagram.hpp"
#include "fleet/outbox.hpp"
#include "fleet/types.hpp"

namespace whinledge::fleetrig {

namespace {

constexpr std::size_t kMostKept = 100000;  // datagrams of a tape
constexpr Millis kTurn = 5;                // between two turns of what sends again and again

bool has(const std::vector<std::size_t>& all, std::size_t one) {
    return std::find(all.begin(), all.end(), one) != all.end();
}

fleet::State state_of(Belief belief) {
    switch (belief) {
        case Belief::alive:
            return fleet::State::alive;
        case Belief::suspect:
            return fleet::State::suspect;
        case Belief::left:
            return fleet::State::left;
        default:
            return fleet::State::failed;
    }
}

// Whether two are kept apart: both stand in groups, and in none together.
std::function<bool(Node, Node)> apart(const std::vector<std::vector<Member>>& groups,
                                      const std::vector<Member>& member_of) {
    return [groups, member_of](Node a, Node b) {
        bool a_in = false, b_in = false;
        for (const auto& group : groups) {
            const bool has_a = has(group, member_of[a]), has_b = has(group, member_of[b]);
            if (has_a && has_b) return false;
            a_in |= has_a;
            b_in |= has_b;
        }
        return a_in && b_in;
    };
}

}  // namespace

Timeline::Timeline(boost::asio::io_context& io, Stage stage) : io_(io), stage_(stage) {
    stage_.datagrams.on_datagram = [this](Node from, Node to, const DatagramRelay::Bytes& bytes) {
        heard(from, to, bytes);
    };
}

void Timeline::at(Millis when, std::function<void()> then) {
    ++waiting_;
    const auto timer = timers_.emplace(timers_.end(), io_);
    timer->timer.expires_at(stage_.clock.when(when));
    timer->timer.async_wait([this, timer, then = std::move(then)](boost::system::error_code failed) {
        if (failed) return;
        then();
        timers_.erase(timer);
        --waiting_;
    });
}

void Timeline::begin() {
    begun_ = true;
    zero_ = stage_.clock.now();
    for (const Step& step : stage_.experiment.steps) {
        keeps_last_ |= step.what == Step::Do::noise;
        at(zero_ + step.at, [this, &step] { carry_out(step); });
    }
}

void Timeline::lived(Node node, Life life, int status) {
    stage_.record.add({stage_.clock.now(), Lived{node, life, status}});
}

void Timeline::start(Node node) {
    if (stage_.processes.runs(node)) return;
    lived(node, Life::started);
    stage_.processes.start(node);
    stage_.watch.expect(node, stage_.processes.control(node));
}

void Timeline::kill(Node node) {
    if (!stage_.processes.runs(node)) return;
    stage_.processes.kill(node);
    stage_.watch.gone(node);
    lived(node, Life::killed);
}

void Timeline::ended(Node node, int status) {
    stage_.watch.gone(node);
    lived(node, Life::ended, status);
}

void Timeline::carry_out(const Step& step) {
    const Millis now = stage_.clock.now();
    stage_.record.add({now, Done{step.text, now + step.lasts}});
    switch (step.what) {
        case Step::Do::kill:
            for (const Node n : step.members) stage_.processes.signal(n, SIGKILL);  // at once
            for (const Node n : step.members) kill(n);
            break;
        case Step::Do::stop:
            for (const Node n : step.members)
                if (stage_.processes.signal(n, SIGSTOP)) lived(n, Life::stopped);
            break;
        case Step::Do::go_on:
            for (const Node n : step.members)
                if (stage_.processes.signal(n, SIGCONT)) lived(n, Life::continued);
            break;
        case Step::Do::terminate:
            for (const Node n : step.members)
                if (stage_.processes.signal(n, SIGTERM)) lived(n, Life::terminated);
            break;
        case Step::Do::start:
            for (const Node n : step.members) start(n);
            break;
        case Step::Do::restart:
            for (const Node n : step.members) stage_.processes.signal(n, SIGKILL);
            for (const Node n : step.members) kill(n);
            for (const Node n : step.members) start(n);
            break;
        case Step::Do::impostor:
            impostor(step);
            break;
        case Step::Do::link:
        case Step::Do::cut:
            befall(step);
            break;
        case Step::Do::servers: {
            const auto id = stage_.connections.add(
                {[&step](Node n) { return has(step.from, n); }, step.reset, step.delay});
            at(now + step.lasts, [this, id] { stage_.connections.remove(id); });
            break;
        }
        case Step::Do::limits:
            limits(step);
            break;
        case Step::Do::demand: {
            const auto lasts = stage_.demand(step);
            at(now + step.lasts, [lasts] {});
            break;
        }
        case Step::Do::tape:
            tapes_[step.tape] = {&step, {}, true};
            at(now + step.lasts, [this, &step] { tapes_[step.tape].runs = false; });
            break;
        case Step::Do::play:
            play(step);
            break;
        case Step::Do::noise:
        case Step::Do::flood:
        case Step::Do::lie:
            send_from(std::make_shared<Source>(
                Source{&step, now + step.lasts, now, std::mt19937_64(stage_.experiment.seed + step.at), 0}));
            break;
        case Step::Do::list:
            list(step);
            break;
    }
}

void Timeline::impostor(const Step& step) {
    const Experiment& e = stage_.experiment;
    for (std::size_t i = 0; i < e.impostors; ++i)
        if (has(step.members, e.impostor_of[i])) start(e.members + i);
}

void Timeline::befall(const Step& step) {
    Rule rule;
    rule.begins = stage_.clock.now();
    rule.flap = step.flap;
    if (step.what == Step::Do::cut) {
        rule.applies = apart(step.groups, stage_.record.cast().member_of);
        rule.cut = true;
    } else {
        rule.applies = [&step](Node from, Node to) {
            return (has(step.from, from) && has(step.to, to)) ||
                   (!step.one_way && has(step.from, to) && has(step.to, from));
        };
        rule.loss = step.loss;
        rule.doubled = step.doubled;
        rule.reorder = step.reorder;
        rule.delay = step.delay;
        rule.jitter = step.jitter;
        rule.hold = step.hold;
    }
    const Links::Id id = stage_.links.add(std::move(rule));
    at(stage_.clock.now() + step.lasts, [this, id] {
        stage_.links.remove(id);
        stage_.datagrams.release(id);
    });
}

void Timeline::list(const Step& step) {
    for (const Node n : step.members) {
        stage_.processes.list(n, step.fleet);
        stage_.processes.signal(n, SIGHUP);
    }
}

void Timeline::limits(const Step& step) {
    for (const Node n : step.members) {
        stage_.processes.limit(n, step.limits);
        stage_.processes.signal(n, SIGHUP);
    }
}

void Timeline::heard(Node from, Node to, const DatagramRelay::Bytes& bytes) {
    if (keeps_last_) last_[{from, to}] = bytes;
    for (auto& [name, tape] : tapes_) {
        const Step& s = *tape.step;
        if (tape.runs && tape.kept.size() < kMostKept && has(s.from, from) && has(s.to, to))
            tape.kept.push_back({{from, to}, bytes});
    }
}

void Timeline::play(const Step& step) {
    for (const auto& [pair, bytes] : tapes_[step.tape].kept)
        stage_.datagrams.inject(pair.first, pair.second, bytes);
}

// ---- What is sent in a member's name ----------------------------------------------------------------------

void Timeline::send_from(const std::shared_ptr<Source>& source) {
    const Step& step = *source->step;
    const Millis now = stage_.clock.now();
    for (; source->next <= now && source->next < source->until; source->next += 1000 / step.rate)
        for (const Node from : step.from)
            for (const Node to : step.to) {
                if (stage_.record.cast().member_of[from] == stage_.record.cast().member_of[to]) continue;
                stage_.datagrams.inject(
                    from, to,
                    step.what == Step::Do::noise ? noise(*source, from, to) : speak(*source, from, to));
            }
    if (now < source->until) at(now + kTurn, [this, source] { send_from(source); });
}

// Bytes by chance; or, as often, the last real datagram of the pair with some of its bytes changed.
DatagramRelay::Bytes Timeline::noise(Source& source, Node from, Node to) {
    DatagramRelay::Bytes bytes = last_[{from, to}];
    if (bytes.empty() || source.random() % 2 == 0) {
        bytes.resize(source.random() % 400);
        for (std::uint8_t& byte : bytes) byte = static_cast<std::uint8_t>(source.random());
        return bytes;
    }
    for (std::size_t i = 1 + source.random() % 3; i > 0; --i)
        bytes[source.random() % bytes.size()] = static_cast<std::uint8_t>(source.random());
    return bytes;
}

// As `from` would say it in its present life: a ping, or a lie about others.
DatagramRelay::Bytes Timeline::speak(Source& source, Node from, Node to) {
    const Record::Cast& cast = stage_.record.cast();
    fleet::Datagram d;
    d.fleet = fleet::key_of(NodeFile::kFleet);
    d.from = fleet::key_of(cast.members[cast.member_of[from]]);
    d.incarnation = std::max<std::uint64_t>(1, stage_.watch.incarnation(from));
    d.kind = fleet::Kind::ping;
    d.number = static_cast<std::uint32_t>(source.random());
    d.target = fleet::key_of(cast.members[cast.member_of[to]]);
    if (source.step->what == Step::Do::flood) return fleet::encode(d);
    if (const auto claims = source.step->claims) {
        d.from = fleet::key_of(cast.members[*claims]);
        d.incarnation = std::max<std::uint64_t>(1, stage_.watch.incarnation(*claims));
        if (source.step->says == Belief::left) d.kind = fleet::Kind::farewell;
        return fleet::encode(d);
    }
    // Of all others in turn, as many as a datagram holds.
    for (std::size_t tried = 0; tried < cast.members.size(); ++tried) {
        const Member about = source.number++ % cast.members.size();
        const std::uint64_t incarnation = stage_.watch.incarnation(about);
        if (about == cast.member_of[from] || incarnation == 0) continue;
        fleet::Rumour rumour;
        rumour.about = fleet::key_of(cast.members[about]);
        rumour.incarnation = incarnation;
        rumour.state = state_of(source.step->says);
        if (rumour.state == fleet::State::suspect) rumour.teller = d.from;
        if (fleet::size_of(rumour, d.incarnation) > fleet::room_in(d)) break;
        d.rumours.push_back(rumour);
    }
    return fleet::encode(d);
}

}  // namespace whinledge::fleetrig
