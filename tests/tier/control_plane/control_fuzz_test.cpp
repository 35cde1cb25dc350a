// Mutated messages of the control plane: leases, watches and their replies, hellos, servers lists and their
// differences. Each core goes on, and what it holds stays within its bounds.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "../mutated.hpp"
#include "control_plane/lease.hpp"
#include "control_plane/list_replica.hpp"
#include "control_plane/membership.hpp"
#include "control_plane/storage_map_reconciler.hpp"
#include "rpc/codec.hpp"
#include "servers_list/difference.hpp"

namespace whinledge::control_plane {
namespace {

using Random = std::mt19937_64;

constexpr int kRounds = 20'000;

// Decoded from mutated bytes, where they can be.
template <class Message, class Take>
void take_mutated(const Message& message, Random& random, const Take& take) {
    auto decoded = rpc::decode_body<Message>(whinledge::test::mutated(rpc::encode_body(message), random));
    if (decoded) take(decoded.value());
}

TEST(ControlFuzz, MutatedLeaseMessages) {
    Random random(1);
    const Instant start = Instant(std::chrono::hours(1));
    std::optional<LeaseGrantor> grantor;
    std::optional<LeaseHolder> holder;
    Instant now = start;
    int granted = 0;
    for (int round = 0; round < kRounds; ++round, now += Span(60)) {
        // A number that was mutated upwards stands until its voter starts again.
        if (round % 200 == 0) {
            grantor.emplace(Instant());
            holder.emplace("duty", 5, "a", 1);
        }
        for (const LeaseHolder::Send& send : holder->tick(now, {0, {"a", "b", "c"}}, 1000 + round)) {
            wire::LeaseReply reply;
            take_mutated(send.request, random, [&](const wire::LeaseRequest& request) {
                reply = grantor->handle(request, now);
                granted += reply.granted ? 1 : 0;
            });
            take_mutated(reply, random, [&](const wire::LeaseReply& read) {
                holder->on_reply(holder->round(), send.to, &read, now);
            });
        }
        EXPECT_FALSE(holder->held(now + LeaseTimes().hold + Span(1)));
    }
    EXPECT_GT(granted, 100);
}

TEST(ControlFuzz, MutatedHellosAndWatches) {
    Random random(2);
    Membership membership;
    wire::NodeInfo who;
    who.node = "store-1";
    who.zone = "z";
    who.address = "10.0.0.1:7380";
    who.role = wire::NodeRole::storage;
    who.identity = 7;
    wire::HelloRequest hello;
    hello.who = who;
    hello.who.role = wire::NodeRole::control;
    hello.storages.resize(3);
    for (wire::SeenStorage& seen : hello.storages) {
        seen.who = who;
        seen.ago_ms = 500;
        seen.storage_note = "synced";
    }
    wire::WatchRequest watch;
    watch.who = who;
    watch.sequence = 3;
    watch.wait_ms = 1000;
    Instant now = Instant(std::chrono::hours(1));
    for (int round = 0; round < kRounds; ++round, now += Span(10)) {
        take_mutated(hello, random, [&](const wire::HelloRequest& read) {
            membership.hear_control(read.who, now);
            for (const wire::SeenStorage& seen : read.storages) membership.hear_of(seen, now);
        });
        take_mutated(watch, random, [&](const wire::WatchRequest& read) { membership.hear(read, now); });
        if (round % 50 != 0) continue;
        membership.forget(now, Span(2000));
        for (const Heard& heard : membership.storages()) {
            EXPECT_LE(heard.last, now);
            EXPECT_GE(heard.last, now - Span(2000));
        }
    }
}

wire::ServersList list_of(int count) {
    wire::ServersList list;
    list.term = 4;
    list.sequence = 9;
    for (int i = 0; i < count; ++i) {
        list.servers.emplace_back();
        list.servers.back().id = std::string("i-").append(std::to_string(i));
        list.servers.back().service_name = "s";
        list.servers.back().address = "10.0.0.1:80";
    }
    return list;
}

bool same_list(const wire::ServersList& a, const wire::ServersList& b) {
    return a.term == b.term && a.sequence == b.sequence &&
           std::equal(a.servers.begin(), a.servers.end(), b.servers.begin(), b.servers.end(),
                      servers_list::same_server);
}

constexpr std::int64_t kHighest = std::numeric_limits<std::int64_t>::max();

// Numbers that nothing can follow are not taken: the lease would be nobody's for ever.
TEST(ControlFuzz, FencingNumbersWithoutASuccessorAreRefused) {
    const Instant now = Instant(std::chrono::hours(1));
    LeaseGrantor grantor{Instant()};
    wire::LeaseRequest request;
    request.holder = 4;
    request.hold_ms = 1500;
    request.fencing = kHighest;
    EXPECT_FALSE(grantor.handle(request, now).granted);
    EXPECT_EQ(grantor.fencing(), 0);
    LeaseHolder holder("duty", 5, "a", 1);
    ASSERT_EQ(holder.tick(now, {0, {"a"}}, 1000).size(), 1U);
    wire::LeaseReply reply;
    reply.fencing = kHighest;
    holder.on_reply(holder.round(), "a", &reply, now);
    const auto next = holder.tick(now + Span(1000), {0, {"a"}}, 2000);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].request.fencing, 2000);
}

TEST(ControlFuzz, WordFromBeforeAllTimeIsForgotten) {
    const Instant now = Instant(std::chrono::hours(100));
    Membership membership;
    wire::SeenStorage seen;
    seen.who.address = "10.0.0.1:7380";
    seen.who.role = wire::NodeRole::storage;
    seen.ago_ms = kHighest;
    membership.hear_of(seen, now);
    ASSERT_EQ(membership.storages().size(), 1U);
    EXPECT_LT(membership.storages()[0].last, now - Span(60'000));
    membership.forget(now, Span(60'000));
    EXPECT_TRUE(membership.storages().empty());
}

// A difference that was altered on its way is noticed by its digest, and the list stays as it was; one that
// was altered only beside what it does is as good.
TEST(ControlFuzz, MutatedServersListsAndDifferences) {
    Random random(3);
    const wire::ServersList base = list_of(9);
    wire::ServersList next = base;
    next.sequence = 10;
    next.servers[2].draining = true;
    next.servers.pop_back();
    const wire::ServersDifference difference = servers_list::difference(base, next);
    int applied = 0, refused = 0;
    for (int round = 0; round < kRounds; ++round) {
        servers_list::KeptList kept;
        kept.replace(base);
        take_mutated(difference, random, [&](const wire::ServersDifference& read) {
            if (kept.apply(read) == servers_list::Applied::yes) {
                ++applied;
                EXPECT_TRUE(std::equal(kept.list().servers.begin(), kept.list().servers.end(),
                                       next.servers.begin(), next.servers.end(), servers_list::same_server));
            } else {
                ++refused;
                EXPECT_EQ(kept.list(), base);
            }
        });
        take_mutated(next, random, [&](wire::ServersList read) { kept.replace(std::move(read)); });
        take_mutated(difference, random, [&](const wire::ServersDifference& read) { kept.apply(read); });
        servers_list::RecentChanges recent;
        recent.add(difference);
        take_mutated(difference, random, [&](const wire::ServersDifference& read) {
            recent.add(read);
            recent.since(base.term, base.sequence, 9);
        });
    }
    EXPECT_GT(refused, 1000);
    std::printf("[ figures  ] %d mutated differences applied to the meant list, %d refused\n", applied,
                refused);
}

// A reader of the platform's list and those that it tells, with messages that are altered on their way. The
// reader goes above terms that it hears of, as the lease's next fencing number does.
class FuzzedListNews {
public:
    explicit FuzzedListNews(std::uint64_t seed) : random_(seed) {}

    void publish() {
        const std::string id = std::string("i-").append(std::to_string(random_() % 40));
        std::vector<wire::ListedServer> servers = reader.list().servers;
        std::erase_if(servers, [&id](const wire::ListedServer& server) { return server.id == id; });
        if (random_() % 3 != 0) {
            servers.emplace_back();
            servers.back().id = id;
            servers.back().slots = static_cast<std::int32_t>(random_() % 9);
        }
        std::sort(servers.begin(), servers.end(),
                  [](const wire::ListedServer& a, const wire::ListedServer& b) { return a.id < b.id; });
        if (reader.publish(term_, std::move(servers))) ++changes;
    }
    void tell_all(bool altered) {
        for (std::size_t i = 0; i < others.size(); ++i) {
            const std::string address = std::string("other-").append(std::to_string(i));
            while (tell(address, others[i], altered)) {
            }
        }
    }

    ListReplica reader;
    std::vector<ListReplica> others = std::vector<ListReplica>(3);
    int changes = 0, unread = 0;

private:
    template <class Message>
    std::optional<Message> arrived(const Message& message, bool altered) {
        if (!altered || random_() % 3 != 0) return message;
        auto read = rpc::decode_body<Message>(whinledge::test::mutated(rpc::encode_body(message), random_));
        if (read) return std::move(read).value();
        ++unread;
        return std::nullopt;
    }

    bool tell(const std::string& address, ListReplica& other, bool altered) {
        const ListReplica::News news = reader.news_for(address);
        const auto had = std::pair(other.list().term, other.list().sequence);
        std::optional<wire::ListNewsReply> reply;
        if (const auto message = arrived(news.message, altered))
            reply = arrived(other.take(*message).reply, altered);
        EXPECT_LE(had, std::pair(other.list().term, other.list().sequence)) << "versions only rise";
        if (!reply) {
            reader.failed(address);
            return false;
        }
        if (reply->term >= term_ && reply->term <= kMostFencing && reply->term > reader.list().term)
            term_ = reply->term + 1;
        return reader.answered(address, news.asks, *reply);
    }

    Random random_;
    std::int64_t term_ = 7;
};

TEST(ControlFuzz, MutatedListNews) {
    int changes = 0, unread = 0, mismatches = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        FuzzedListNews world(seed);
        for (int round = 0; round < kRounds / 400; ++round) {
            for (int i = 0; i < 8; ++i) {
                world.publish();
                world.tell_all(true);
            }
            // The first brings terms that were mutated upwards to the reader, the second a difference to
            // lists that were altered, the third the whole where it did not fit.
            for (int i = 0; i < 3; ++i) {
                world.tell_all(false);
                for (const int before = world.changes; world.changes == before;) world.publish();
            }
            world.tell_all(false);
            world.tell_all(false);
            for (const ListReplica& other : world.others)
                ASSERT_TRUE(same_list(other.list(), world.reader.list()))
                    << "seed " << seed << ", round " << round;
        }
        changes += world.changes;
        unread += world.unread;
        for (const ListReplica& other : world.others) mismatches += static_cast<int>(other.mismatches());
    }
    EXPECT_GT(unread, 1000);
    EXPECT_GT(mismatches, 100);
    std::printf(
        "[ figures  ] %d changes told, %d mutated messages unreadable, %d differences that did not fit\n",
        changes, unread, mismatches);
}

// Cut anywhere, a message is no other message.
TEST(ControlFuzz, EveryCutOfListNewsIsRefused) {
    wire::ListNews news;
    news.node = "core-1";
    news.__set_servers(list_of(4));
    wire::ServersList next = list_of(5);
    next.sequence = 10;
    news.__set_difference(servers_list::difference(list_of(4), next));
    wire::ListNewsReply reply;
    reply.term = 4;
    reply.differences = true;
    const std::string whole = rpc::encode_body(news), answer = rpc::encode_body(reply);
    for (std::size_t size = 0; size < whole.size(); ++size)
        EXPECT_FALSE(rpc::decode_body<wire::ListNews>(whole.substr(0, size))) << size;
    for (std::size_t size = 0; size < answer.size(); ++size)
        EXPECT_FALSE(rpc::decode_body<wire::ListNewsReply>(answer.substr(0, size))) << size;
}

// Read back from whatever bytes: the register's state, as control processes and watchers get it.
TEST(ControlFuzz, MutatedStatesAreReconciledOrLeft) {
    Random random(4);
    wire::RegisterState state;
    state.sequence = 5;
    state.version = 2;
    state.configuration = "{}";
    state.taken.resize(2);
    state.storage.epoch = 3;
    for (int i = 0; i < 3; ++i) {
        state.storage.members.emplace_back();
        state.storage.members.back().identity = i + 1;
        state.storage.members.back().node = std::string("store-").append(std::to_string(i));
        state.storage.members.back().zone = state.storage.members.back().node;
        state.storage.members.back().state = wire::StorageState::member;
    }
    StorageMapReconciler reconciler{StorageMapReconciler::Options()};
    Instant now = Instant(std::chrono::hours(1));
    for (int round = 0; round < kRounds / 4; ++round, now += Span(100))
        take_mutated(state, random, [&](const wire::RegisterState& read) {
            reconciler.observe(read, {}, now);
            reconciler.wanted(read, {}, now);
        });
}

}  // namespace
}  // namespace whinledge::control_plane
