// The engine over a scripted transport and a clock that the test moves: what three pools do is held against
// the rules, written from the rules and not from the code.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/engine.hpp"
#include "rig/test_time.hpp"

namespace whinledge::test {

struct TextAnswer final : Answer {
    explicit TextAnswer(std::string t) : text(std::move(t)) {}
    std::string text;
};

// Attempts wait here until the test ends them.
class ScriptedTransport final : public Transport {
public:
    struct Out {
        Attempt attempt;
        Key key;
        Listener* listener = nullptr;
        std::string address;
        Millis began = 0;
        bool written = true;  // whole: it may have run
        bool begun = false;
    };
    explicit ScriptedTransport(const TestTime& time) : time_(time) {}

    void set_machine(MachineId machine, const std::string& address, Millis started) override {
        if (address == "nonsense") throw std::invalid_argument("'nonsense' is not ADDRESS:PORT");
        machines[machine] = {address, started};
    }
    void forget_machine(MachineId machine) override { machines.erase(machine); }
    void close_idle(MachineId) override {}
    Begun start(const Attempt& attempt, Key key, Listener& listener) noexcept override {
        const auto machine = machines.find(attempt.machine);
        if (machine == machines.end()) return {0, Outcome::superseded};
        if (exhausted) return {0, Outcome::not_sent};
        out[++last_] = {attempt, key, &listener, machine->second.first, time_.at};
        if (on_start) on_start(last_, out.at(last_));
        return {last_, std::nullopt};
    }
    bool stop(ExchangeId id) noexcept override {
        const auto at = out.find(id);
        if (at == out.end()) return true;
        const bool written = at->second.written;
        if (on_stop) on_stop(id, at->second);
        out.erase(at);
        return written;
    }
    bool written(ExchangeId id) const noexcept override {
        const auto at = out.find(id);
        return at != out.end() && at->second.written;
    }
    void probe(PoolId, MachineId machine, Millis, Listener& listener) override {
        listener.probe_ended(machine, Outcome::completed);
    }

    void end(ExchangeId id, Outcome outcome) {
        const Out o = out.at(id);
        out.erase(id);
        std::unique_ptr<Answer> answer;
        if (outcome == Outcome::completed && !o.begun) answer = std::make_unique<TextAnswer>(o.address);
        o.listener->attempt_ended(o.key, outcome, std::move(answer));
    }
    bool begin(ExchangeId id) {
        Out& o = out.at(id);
        return o.begun = o.listener->attempt_begun(o.key);
    }

    std::map<MachineId, std::pair<std::string, Millis>> machines;
    std::map<ExchangeId, Out> out;
    std::function<void(ExchangeId, const Out&)> on_start, on_stop;
    bool exhausted = false;  // of our own connections

private:
    const TestTime& time_;
    ExchangeId last_ = 0;
};

enum class End { none, served, refused, failed };

// One client's request: it may end once, and nothing comes after that.
struct TestCall final : Call {
    void served(std::unique_ptr<Answer> answer) noexcept override {
        ends(End::served);
        if (answer) by = static_cast<TextAnswer&>(*answer).text;
    }
    void refused(Millis) noexcept override { ends(End::refused); }
    void failed(Failure) noexcept override { ends(End::failed); }
    void ends(End how) {
        EXPECT_EQ(end, End::none) << "rule 1: a second final answer";
        EXPECT_FALSE(gone) << "rule 1: something after its client has gone";
        end = how;
        ended_at = time ? time->at : 0;
    }
    End end = End::none;
    std::string by;
    bool gone = false;
    Millis ended_at = 0;
    const TestTime* time = nullptr;
};

inline Settings pool_settings() {
    Settings s;
    RequestClass safe, unsafe, keyed;
    safe.effect = Effect::repeatable, unsafe.effect = Effect::once, keyed.effect = Effect::by_key;
    for (RequestClass* c : {&safe, &unsafe, &keyed}) c->aim = 400;
    keyed.dedup_scope = DedupScope::all;
    keyed.dedup_window = 3000;
    s.classes = {safe, unsafe, keyed};
    s.max_attempts = 4;
    s.cold_from = 0.16;
    s.warm_within = 20000;
    s.fall_multiple = 2.5;
    return s;
}

inline Member member(const std::string& id, const std::string& address, Phase phase = Phase::on,
                     Millis started = 0) {
    Member m;
    m.id = id;
    m.address = address;
    m.phase = phase;
    m.started = started;
    return m;
}

struct EngineRig : testing::Test {
    TestTime time;
    ScriptedTransport transport{time};
    Engine engine{time, {}};

    Pool& pool(const std::string& name, const std::vector<Member>& members) {
        Pool::Options options;
        options.name = name;
        options.decisions = pool_settings();
        options.seed = engine.open() + name.size() * 77;
        Pool& pool = engine.add_pool(std::move(options), transport, nullptr, {});
        pool.start();
        pool.members({1, true, members});
        return pool;
    }
    std::shared_ptr<TestCall> take(Pool& pool, std::uint32_t class_index, Millis time_left = 1000) {
        auto call = std::make_shared<TestCall>();
        call->time = &time;
        pool.take(call, {class_index, ~0U, time_left, 0, false});
        return call;
    }
    // Where a call's attempt is out; 0: it has none.
    ExchangeId out_of(const std::shared_ptr<TestCall>& call) const {
        for (const auto& [id, out] : transport.out)
            if (out.attempt.call == call) return id;
        return 0;
    }
    void pass(Millis span) {
        const Millis until = time.at + span;
        while (engine.due() <= until) {
            time.at = std::max(time.at, engine.due());
            engine.run_due();
        }
        time.at = until;
        engine.run_due();
    }
};

}  // namespace whinledge::test
