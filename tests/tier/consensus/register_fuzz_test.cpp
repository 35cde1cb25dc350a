// Mutated messages between three control processes, requests and replies of every kind: each core goes on,
// answers what it can read, and calls back once.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "../mutated.hpp"
#include "consensus/register_core.hpp"
#include "rpc/codec.hpp"

namespace whinledge::consensus::test {
namespace {

constexpr std::size_t kProcesses = 3;

class FuzzedRegister {
public:
    explicit FuzzedRegister(std::uint64_t seed) : random_(seed) {
        for (std::size_t p = 0; p < kProcesses; ++p) {
            processes_.at(p).disk.emplace(static_cast<std::int64_t>(p + 1));
            processes_.at(p).host = std::make_unique<Host>(*this, p);
            RegisterCore::Options options;
            options.self.node = options.self.address = address(p);
            options.self.role = wire::NodeRole::control;
            options.founder = true;
            for (std::size_t seed_node = 0; seed_node < kProcesses; ++seed_node)
                options.seeds.push_back(address(seed_node));
            processes_.at(p).core =
                std::make_unique<RegisterCore>(*processes_.at(p).host, options, *processes_.at(p).disk);
            processes_.at(p).core->start();
        }
    }

    void run_until(Millis time) {
        while (!events_.empty() && events_.begin()->first <= time) {
            now_ = events_.begin()->first;
            const auto act = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            act();
        }
        now_ = time;
    }
    void change(std::size_t process) {
        ++asked_;
        processes_.at(process).core->change(
            [](const wire::RegisterState& state) {
                wire::RegisterState next = state;
                next.configuration += "x";
                return std::optional(next);
            },
            1000,
            [this](const RegisterResult<wire::RegisterState>& result) {
                ++answered_;
                changed_ += result ? 1 : 0;
            });
    }
    void read(std::size_t process) {
        ++asked_;
        processes_.at(process).core->read(
            1000, [this](const RegisterResult<wire::RegisterState>&) { ++answered_; });
    }

    double mutation = 0;  // share of messages
    int asked() const { return asked_; }
    int answered() const { return answered_; }
    int changed() const { return changed_; }
    RegisterCore& core(std::size_t process) { return *processes_.at(process).core; }
    int unreadable() const { return unreadable_; }
    int altered() const { return altered_; }

private:
    class Host : public RegisterHost {
    public:
        Host(FuzzedRegister& world, std::size_t process) : world_(world), process_(process) {}
        Millis now() const override { return world_.now_; }
        std::uint64_t random() override { return world_.random_(); }
        void after(Millis delay, std::function<void()> act) override {
            world_.events_.emplace(world_.now_ + std::max<Millis>(delay, 0), std::move(act));
        }
        void persist(AcceptorWrite write, std::function<void(bool)> done) override {
            for (const wire::AcceptorRecord& record : write.records)
                world_.processes_.at(process_).disk->apply(record);
            after(0, [done = std::move(done)] { done(true); });
        }
        void send(const std::string& to, const AcceptorRequest& request, Millis timeout,
                  std::function<void(std::optional<wire::AcceptorReply>)> done) override {
            std::visit([&](const auto& one) { world_.carry<wire::AcceptorReply>(to, one, timeout, done); },
                       request);
        }
        void send(const std::string& to, const wire::ShareRequest& request, Millis timeout,
                  std::function<void(std::optional<wire::ShareReply>)> done) override {
            world_.carry<wire::ShareReply>(to, request, timeout, std::move(done));
        }
        void chosen(const wire::ChosenValue&) override {}

    private:
        FuzzedRegister& world_;
        std::size_t process_;
    };
    struct Process {
        std::optional<Acceptor> disk;
        std::unique_ptr<Host> host;
        std::unique_ptr<RegisterCore> core;
    };

    static std::string address(std::size_t process) {
        return std::string(1, static_cast<char>('a' + process));
    }

    // As it arrives; none: it could not be read.
    template <class Message>
    std::optional<Message> arrived(const Message& message) {
        std::string bytes = rpc::encode_body(message);
        if (static_cast<double>(random_() % 1000) >= 1000 * mutation) return message;
        ++altered_;
        auto decoded = rpc::decode_body<Message>(whinledge::test::mutated(std::move(bytes), random_));
        if (decoded) return std::move(decoded).value();
        ++unreadable_;
        return std::nullopt;
    }

    template <class Reply, class Request>
    void carry(const std::string& to, const Request& request, Millis timeout,
               std::function<void(std::optional<Reply>)> done) {
        const auto end = std::make_shared<std::function<void(std::optional<Reply>)>>(std::move(done));
        const auto once = [end](std::optional<Reply> reply) {
            if (!*end) return;
            const auto act = std::move(*end);
            *end = nullptr;
            act(std::move(reply));
        };
        events_.emplace(now_ + std::max<Millis>(timeout, 1), [once] { once(std::nullopt); });
        // A mutated address leads nowhere.
        if (to.size() != 1 || to[0] < 'a' || to[0] >= static_cast<char>('a' + kProcesses)) return;
        const auto target = static_cast<std::size_t>(to[0] - 'a');
        events_.emplace(now_ + 2, [this, target, request, once] {
            const std::optional<Request> read = arrived(request);
            if (!read) return;
            const auto send_back = [this, once](std::optional<Reply> reply) {
                if (reply) events_.emplace(now_ + 2, [this, reply, once] { once(arrived(*reply)); });
            };
            RegisterCore& core = *processes_.at(target).core;
            if constexpr (std::is_same_v<Request, wire::ShareRequest>)
                send_back(core.handle(*read));
            else
                core.handle(AcceptorRequest(*read), send_back);
        });
    }

    std::mt19937_64 random_;
    std::array<Process, kProcesses> processes_;
    std::multimap<Millis, std::function<void()>> events_;
    Millis now_ = 0;
    int asked_ = 0, answered_ = 0, changed_ = 0, unreadable_ = 0, altered_ = 0;
};

TEST(RegisterFuzz, MutatedMessages) {
    int altered = 0, unreadable = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        FuzzedRegister world(seed);
        world.run_until(2000);  // the founding
        world.change(0);
        world.run_until(3000);
        EXPECT_EQ(world.answered(), 1) << "seed " << seed;
        world.mutation = 0.15;
        Millis now = 3000;
        for (int round = 0; round < 40; ++round) {
            world.change(static_cast<std::size_t>(round) % kProcesses);
            world.read(static_cast<std::size_t>(round + 1) % kProcesses);
            world.run_until(now += 150);
        }
        world.run_until(now += 5000);
        EXPECT_EQ(world.answered(), world.asked()) << "seed " << seed;
        altered += world.altered();
        unreadable += world.unreadable();
    }
    std::printf("[ figures  ] %d messages mutated, %d of them unreadable\n", altered, unreadable);
    EXPECT_GT(altered, 5000);
    EXPECT_GT(altered, unreadable);
}

// Ballots that none can follow are not taken: the register could never be changed again.
TEST(RegisterFuzz, BallotsWithoutASuccessorAreNotPromised) {
    FuzzedRegister world(1);
    world.run_until(2000);
    wire::PrepareRequest prepare;
    prepare.epoch = 1;
    prepare.ballot.round = std::numeric_limits<std::int64_t>::max();
    wire::ShareRequest share;
    share.who.address = "d";
    share.who.identity = 4;
    share.epoch = 1;
    wire::ChosenValue value = world.core(0).known();
    value.ballot.round = std::numeric_limits<std::int64_t>::max();
    share.__set_value(value);
    for (std::size_t p = 0; p < kProcesses; ++p) {
        prepare.identity = static_cast<std::int64_t>(p + 1);
        int ends = 0;
        world.core(p).handle(AcceptorRequest(prepare), [&](const std::optional<wire::AcceptorReply>& reply) {
            ++ends;
            EXPECT_FALSE(reply);
        });
        EXPECT_EQ(ends, 1);
        world.core(p).handle(share);
    }
    value.epoch = std::numeric_limits<std::int64_t>::max();
    share.__set_value(value);
    world.core(0).handle(share);
    EXPECT_EQ(world.core(0).known().epoch, 1);
    for (int round = 0; round < 3; ++round) world.change(0);
    world.run_until(8000);
    EXPECT_EQ(world.changed(), 3);
}

// A mutated founding may fail; nobody comes to harm by it.
TEST(RegisterFuzz, MutatedFounding) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        FuzzedRegister world(seed);
        world.mutation = 0.3;
        world.run_until(3000);
        world.change(0);
        world.read(1);
        world.run_until(8000);
        EXPECT_EQ(world.answered(), world.asked()) << "seed " << seed;
    }
}

}  // namespace
}  // namespace whinledge::consensus::test
