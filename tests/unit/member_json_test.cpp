// Lists of members as JSON: what is read, and what is refused by which words.
#include "discovery/member_json.hpp"

#include <gtest/gtest.h>

#include <string>

namespace whinledge {
namespace {

const std::string kWhole = R"({"id":"s-1","addr":"10.0.0.1:7070","zone":"a","kind":"m2","cell":3,)"
                           R"("state":"Ready","weight":1.5,"started_ms":1700000000000})";
const std::string kSecond = R"({"id":"s-2","addr":"[::1]:7070","state":"Ready"})";

std::string list(const std::string& servers) {
    return R"({"version":41,"full":true,"servers":[)" + servers + "]}";
}
std::string entry(const std::string& keys) { return list(kSecond + ",{" + keys + "}"); }
std::string fault(const std::string& json, const MemberRules& rules = {}) {
    try {
        read_member_list(json, rules);
    } catch (const MemberJsonError& error) {
        return error.what();
    }
    return "";
}

TEST(MemberJson, ReadsAllThatAMemberHas) {
    const MemberList read = read_member_list(list(kWhole + "," + kSecond));
    EXPECT_EQ(read.version, 41u);
    EXPECT_TRUE(read.full);
    ASSERT_EQ(read.members.size(), 2u);
    EXPECT_EQ(read.members[0], (Member{"s-1", "10.0.0.1:7070", "a", "m2", 3, Phase::on, 1700000000000.0}));
    EXPECT_EQ(read.members[1], (Member{"s-2", "[::1]:7070", "", "", 0, Phase::on, 0}));
}

TEST(MemberJson, ReadsChangesAndAnEmptyList) {
    EXPECT_FALSE(read_member_list(R"({"version":0,"full":false,"servers":[]})").full);
    EXPECT_TRUE(read_member_list(list("")).members.empty());
}

TEST(MemberJson, PassesOverKeysItDoesNotKnowAndNulls) {
    const auto read = read_member_list(
        R"({"version":1,"full":true,"x":{"y":[1]},"servers":[{"id":"s","addr":"1.2.3.4:5","state":"Ready","zone":null,"q":7}]})");
    EXPECT_EQ(read.members.at(0).zone, "");
}

TEST(MemberJson, ReadsAStateItDoesNotKnowAsDraining) {
    const auto phase = [](const std::string& state) {
        return read_member_list(list(R"({"id":"s","addr":"1.2.3.4:5","state":")" + state + "\"}"))
            .members.at(0)
            .phase;
    };
    EXPECT_EQ(phase("Ready"), Phase::on);
    EXPECT_EQ(phase("Gone"), Phase::off);
    EXPECT_EQ(phase("Terminating"), Phase::fading);
    EXPECT_EQ(phase("ready"), Phase::fading);
    EXPECT_EQ(phase("Asleep"), Phase::fading);
}

TEST(MemberJson, NamesTheEntryAndTheKeyAtFault) {
    const std::string id = R"("id":"s",)", addr = R"("addr":"1.2.3.4:5",)", state = R"("state":"Ready")";
    const std::string good = id + addr + state;
    EXPECT_EQ(fault(entry(addr + state)), "servers[1] 'id' is missing");
    EXPECT_EQ(fault(entry(id + state)), "servers[1] 'addr' is missing");
    EXPECT_EQ(fault(entry(id + R"("addr":"1.2.3.4:5")")), "servers[1] 'state' is missing");
    EXPECT_EQ(fault(entry(R"("id":7,)" + addr + state)), "servers[1] 'id' is not a string");
    EXPECT_EQ(fault(entry(R"("id":"",)" + addr + state)), "servers[1] 'id' is empty");
    EXPECT_EQ(fault(entry(R"("id":"a\nb",)" + addr + state)), "servers[1] 'id' holds a control character");
    EXPECT_EQ(fault(entry(id + R"("addr":5,)" + state)), "servers[1] 'addr' is not a string");
    EXPECT_EQ(fault(entry(id + R"("addr":"archive.local:80",)" + state)), "servers[1] 'addr' is not IP:PORT");
    EXPECT_EQ(fault(entry(id + addr + R"("state":true)")), "servers[1] 'state' is not a string");
    EXPECT_EQ(fault(entry(good + R"(,"zone":[])")), "servers[1] 'zone' is not a string");
    EXPECT_EQ(fault(entry(good + R"(,"kind":{})")), "servers[1] 'kind' is not a string");
    EXPECT_EQ(fault(entry(good + R"(,"cell":-1)")), "servers[1] 'cell' is not a whole number");
    EXPECT_EQ(fault(entry(good + R"(,"cell":1.0)")), "servers[1] 'cell' is not a whole number");
    EXPECT_EQ(fault(entry(good + R"(,"cell":4294967296)")), "servers[1] 'cell' is out of range");
    EXPECT_EQ(fault(entry(good + R"(,"weight":"1")")), "servers[1] 'weight' is not a number");
    EXPECT_EQ(fault(entry(good + R"(,"weight":-0.5)")), "servers[1] 'weight' is out of range");
    EXPECT_EQ(fault(entry(good + R"(,"started_ms":"0")")), "servers[1] 'started_ms' is not a number");
    EXPECT_EQ(fault(entry(good + R"(,"started_ms":-1)")), "servers[1] 'started_ms' is out of range");
    EXPECT_EQ(fault(list(kSecond + ",7")), "servers[1] is not an object");
    EXPECT_EQ(fault(entry(good)), "");
}

TEST(MemberJson, NamesTheKeyOfTheListAtFault) {
    EXPECT_EQ(fault(R"({"full":true,"servers":[]})"), "'version' is missing");
    EXPECT_EQ(fault(R"({"version":-1,"full":true,"servers":[]})"), "'version' is not a whole number");
    EXPECT_EQ(fault(R"({"version":1,"servers":[]})"), "'full' is missing");
    EXPECT_EQ(fault(R"({"version":1,"full":1,"servers":[]})"), "'full' is not true or false");
    EXPECT_EQ(fault(R"({"version":1,"full":true})"), "'servers' is missing");
    EXPECT_EQ(fault(R"({"version":1,"full":true,"servers":{}})"), "'servers' is not a list");
    EXPECT_EQ(fault("[]"), "is not an object");
}

TEST(MemberJson, RefusesWhatIsNotWhole) {
    const std::string whole = list(kWhole);
    for (std::size_t size = 0; size < whole.size(); ++size)
        EXPECT_EQ(fault(whole.substr(0, size)), "is not JSON, or not all of it is there") << size;
    EXPECT_EQ(fault(whole + "}"), "is not JSON, or not all of it is there");
    EXPECT_EQ(fault(list("{\"id\":\"\xff\"}")), "is not JSON, or not all of it is there");
}

TEST(MemberJson, NothingHidesBehindANul) {
    const std::string whole = list(kWhole);
    EXPECT_EQ(fault(whole + std::string(1, '\0') + "and on"), "holds a NUL");
    EXPECT_EQ(fault(whole + std::string(1, '\0')), "holds a NUL");
    EXPECT_EQ(fault(list(kWhole + std::string(1, '\0'))), "holds a NUL");
}

TEST(MemberJson, RefusesAKeyThatStandsTwice) {
    EXPECT_EQ(fault(entry(R"("id":"s","addr":"1.2.3.4:5","state":"Gone","state":"Ready")")),
              "key 'state' stands twice");
    EXPECT_EQ(fault(R"({"version":1,"full":true,"servers":[],"x":{"y":{"z":1},"z":1},"full":false})"),
              "key 'full' stands twice");
    EXPECT_EQ(fault(R"({"version":1,"full":true,"servers":[],"x":{"y":{"z":1},"z":1,"y":2}})"),
              "key 'y' stands twice");
}

TEST(MemberJson, BoundsTheKeysOfAnObject) {
    const auto with = [](int keys) {
        std::string text = R"({"version":1,"full":true,"servers":[])";
        for (int i = 3; i < keys; ++i) text.append(",\"k").append(std::to_string(i)).append("\":0");
        return text + "}";
    };
    EXPECT_EQ(fault(with(64)), "");
    EXPECT_EQ(fault(with(65)), "holds an object of more than 64 keys");
}

TEST(MemberJson, RefusesTwoOfOneIdOrAddress) {
    EXPECT_EQ(fault(entry(R"("id":"s-2","addr":"1.2.3.4:5","state":"Ready")")),
              "servers[1] 'id' stands twice in the list");
    EXPECT_EQ(fault(entry(R"("id":"s","addr":"[0:0::1]:7070","state":"Ready")")),
              "servers[1] 'addr' stands twice in the list");
}

TEST(MemberJson, LetsASuccessorHaveTheAddressOfOneThatIsGone) {
    EXPECT_EQ(fault(entry(R"("id":"s","addr":"[::1]:7070","state":"Gone")")), "");
    EXPECT_EQ(read_member_list(entry(R"("id":"s","state":"Gone")")).members.at(1).address, "");
}

TEST(MemberJson, LetsMembersShareAnAddressWhereTheRulesDo) {
    MemberRules rules;
    rules.distinct_addresses = false;
    EXPECT_EQ(fault(entry(R"("id":"s","addr":"[::1]:7070","state":"Ready")"), rules), "");
}

TEST(MemberJson, BoundsTheLengthOfStrings) {
    const auto with = [](std::size_t size) {
        return entry(R"("addr":"1.2.3.4:5","state":"Ready","id":")" + std::string(size, 'x') + '"');
    };
    EXPECT_EQ(fault(with(256)), "");
    EXPECT_EQ(fault(with(257)), "servers[1] 'id' is too long");
}

TEST(MemberJson, BoundsTheNumberOfMembers) {
    const auto many = [](int count) {
        std::string servers;
        for (int i = 0; i < count; ++i)
            servers += std::string(i ? "," : "") + "{\"id\":\"s" + std::to_string(i) + "\",\"addr\":\"10.0." +
                       std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80\",\"state\":\"Ready\"}";
        return list(servers);
    };
    EXPECT_EQ(fault(many(10000)), "");
    EXPECT_EQ(fault(many(10001)), "'servers' holds more than 10000");
    EXPECT_EQ(fault(many(3), MemberRules{.most = 2}), "'servers' holds more than 2");
}

TEST(MemberJson, BoundsTheDepth) {
    EXPECT_EQ(fault(std::string(1 << 20, '[')), "is nested too deeply");
    EXPECT_EQ(fault(R"({"version":1,"full":true,"servers":[],"x":[[[[[[[[]]]]]]]]})"),
              "is nested too deeply");
}

}  // namespace
}  // namespace whinledge
