// The rules, with three pools over the engine and random requests, outcomes and changes.
#include <algorithm>

#include "rig/engine_rig.hpp"

namespace whinledge::test {
namespace {

constexpr std::uint32_t kUnsafe = 1, kKeyed = 2;

// Random lives of three pools that share machines: requests, outcomes, drains, moves, removals, clients that
// leave, connections that are wanting. Each attempt is held against the rules as it starts.
class Rules {
public:
    explicit Rules(std::uint64_t seed) : state_(seed * 0x9e3779b97f4a7c15u + 1) {
        transport_.on_start = [this](ExchangeId id, const ScriptedTransport::Out& out) { started(id, out); };
        transport_.on_stop = [this](ExchangeId, const ScriptedTransport::Out& out) {
            if (Life* const life = life_of(out)) life->out = 0, life->may_have_run |= out.written;
        };
        for (int p = 0; p < 3; ++p) add(p);
    }

    void live(int steps) {
        for (int i = 0; i < steps; ++i) {
            const std::uint32_t what = below(100);
            if (what < 45)
                arrive();
            else if (what < 80)
                end_one();
            else if (what < 88)
                tell();
            else if (what < 90)
                leave();
            else if (what == 90)
                transport_.exhausted = below(2);
            else if (what == 91 && below(4) == 0)
                remove();
            else
                pass(below(60));
            if (testing::Test::HasFailure()) return;
        }
        transport_.exhausted = false;
        std::vector<ExchangeId> begun;
        for (const auto& [id, out] : transport_.out)
            if (out.begun) begun.push_back(id);
        for (const ExchangeId id : begun) {
            if (Life* const life = life_of(transport_.out.at(id))) life->out = 0;
            transport_.end(id, Outcome::completed);
        }
        pass(10000);
        for (const auto& [call, life] : lives_)
            EXPECT_TRUE(call->end != End::none || call->gone) << "rule 1: no answer";
        EXPECT_EQ(engine_.open(), 0u);
        EXPECT_TRUE(transport_.out.empty());
        EXPECT_EQ(engine_.retired(), 0u);
    }

private:
    struct Life {
        std::uint32_t class_index = 0;
        Millis deadline = 0;
        unsigned attempts = 0;
        ExchangeId out = 0;
        bool may_have_run = false, begun = false;
        Millis first_run = 0;
        Pool* pool = nullptr;
    };

    std::uint32_t below(std::uint32_t n) {
        state_ = state_ * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state_ >> 33) % n;
    }
    Member any_member(std::uint32_t i) {
        const Phase phases[] = {Phase::on, Phase::on, Phase::on, Phase::fading, Phase::off};
        return member(std::string("s").append(std::to_string(i)), "10.0.0." + std::to_string(i) + ":1",
                      phases[below(5)], below(3) ? 0 : time_.at - below(30000));
    }
    void add(int p) {
        Pool::Options options;
        options.name = "pool-" + std::to_string(p);
        options.decisions = pool_settings();
        options.seed = state_;
        Pool& pool = engine_.add_pool(std::move(options), transport_, nullptr, {});
        pool.start();
        pools_.push_back(&pool);
        drained_[&pool].clear();  // of one that stood there before
        MemberList list{1, true, {}};
        for (std::uint32_t i = 0; i < 6; ++i)
            if (below(3)) list.members.push_back(any_member(i));
        for (const Member& m : list.members)
            if (m.phase != Phase::on) drained_[&pool].insert(m.address);
        pool.members(list);
    }
    Life* life_of(const ScriptedTransport::Out& out) {
        const auto at = lives_.find(std::static_pointer_cast<TestCall>(out.attempt.call));
        return at == lives_.end() ? nullptr : &at->second;
    }
    void started(ExchangeId id, const ScriptedTransport::Out& out) {
        Life* const life = life_of(out);
        ASSERT_NE(life, nullptr);
        const auto call = std::static_pointer_cast<TestCall>(out.attempt.call);
        EXPECT_EQ(call->end, End::none) << "rule 1: sent after its end";
        EXPECT_FALSE(call->gone);
        EXPECT_LT(time_.at, life->deadline);
        EXPECT_EQ(life->out, 0u) << "rule 2: two attempts out at once";
        EXPECT_LT(life->attempts, 4u);
        if (life->may_have_run) {
            EXPECT_NE(life->class_index, kUnsafe) << "rule 2: sent again after it may have run";
            if (life->class_index == kKeyed) {
                EXPECT_LT(time_.at, life->first_run + 3000) << "rule 2: outside of the window";
            }
        } else {
            life->first_run = time_.at;
        }
        ++life->attempts;
        life->out = id;
        for (const auto& [pool, drained] : drained_) {
            if (pool != life->pool) continue;
            EXPECT_FALSE(drained.contains(out.address)) << "rule 3: to one that drains or is gone";
        }
    }
    void arrive() {
        Pool* const pool = pools_[below(static_cast<std::uint32_t>(pools_.size()))];
        auto call = std::make_shared<TestCall>();
        call->time = &time_;
        const Millis left = 20 + below(1500);
        lives_[call] = {below(3), time_.at + left, 0, 0, false, false, 0, pool};
        pool->take(call, {lives_[call].class_index, ~0U, left, 0, below(4) == 0});
    }
    ExchangeId any_out() {
        if (transport_.out.empty()) return 0;
        return std::next(transport_.out.begin(), below(static_cast<std::uint32_t>(transport_.out.size())))
            ->first;
    }
    void end_one() {
        const ExchangeId id = any_out();
        if (!id) return;
        static constexpr Outcome outcomes[] = {
            Outcome::completed, Outcome::completed, Outcome::completed,          Outcome::errored,
            Outcome::severed,   Outcome::saturated, Outcome::refused_connection, Outcome::superseded};
        auto& out = transport_.out.at(id);
        if (!out.begun && below(8) == 0) {
            if (Life* const life = life_of(out)) life->begun = true;
            transport_.begin(id);
            return;
        }
        const Outcome outcome = out.begun ? outcomes[below(2) ? 0 : 4] : outcomes[below(8)];
        if (Life* const life = life_of(out)) {
            life->out = 0;
            life->may_have_run |=
                outcome == Outcome::completed || outcome == Outcome::errored || outcome == Outcome::severed;
        }
        transport_.end(id, outcome);
    }
    void tell() {
        Pool* const pool = pools_[below(static_cast<std::uint32_t>(pools_.size()))];
        MemberList list{1, below(3) == 0, {}};
        for (std::uint32_t i = 0; i < 6; ++i)
            if (below(2)) list.members.push_back(any_member(i));
        // A pool's own word on its servers: nothing new where it says so, from the next attempt on.
        std::set<std::string>& drained = drained_[pool];
        for (std::uint32_t i = 0; list.full && i < 6; ++i)
            drained.insert("10.0.0." + std::to_string(i) + ":1");
        for (const Member& m : list.members)
            m.phase == Phase::on ? static_cast<void>(drained.erase(m.address))
                                 : static_cast<void>(drained.insert(m.address));
        pool->members(list);
    }
    void leave() {
        if (lives_.empty()) return;
        auto at = std::next(lives_.begin(), below(static_cast<std::uint32_t>(lives_.size())));
        const auto call = at->first;
        if (call->end != End::none || call->gone || !call->pool) return;
        Pool* const pool = call->pool;
        call->gone = true;
        pool->gone(call->id, below(2) == 0);
    }
    void remove() {
        const std::uint32_t which = below(static_cast<std::uint32_t>(pools_.size()));
        Pool* const pool = pools_[which];
        for (std::uint32_t i = 0; i < 6; ++i) drained_[pool].insert("10.0.0." + std::to_string(i) + ":1");
        pools_.erase(pools_.begin() + which);
        engine_.remove_pool(*pool);
        add(static_cast<int>(which));
        pass(0);
    }
    void pass(Millis span) {
        const Millis until = time_.at + span;
        while (engine_.due() <= until) {
            time_.at = std::max(time_.at, engine_.due());
            engine_.run_due();
        }
        time_.at = until;
        for (const auto& [call, life] : lives_) {
            if (call->end != End::none && !life.begun) {  // what is passed on has its own time
                EXPECT_LE(call->ended_at, life.deadline) << "rule 1: too late";
            }
        }
        std::erase_if(lives_, [](const auto& l) {
            return (l.first->end != End::none || l.first->gone) && l.second.out == 0;
        });
    }

    std::uint64_t state_;
    TestTime time_;
    ScriptedTransport transport_{time_};
    Engine engine_{time_, {}};
    std::vector<Pool*> pools_;
    std::map<std::shared_ptr<TestCall>, Life> lives_;
    std::map<Pool*, std::set<std::string>> drained_;
};

TEST(EngineRules, HoldWithThreePoolsOverRandomLives) {
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        SCOPED_TRACE(seed);
        Rules(seed).live(1200);
        if (testing::Test::HasFailure()) return;
    }
}

}  // namespace
}  // namespace whinledge::test
