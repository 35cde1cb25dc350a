// The fleet in a services file: each slip is one line, what is right is printed, what changes is told.
#include <gtest/gtest.h>

#include <array>

#include "config/diff.hpp"
#include "config/print.hpp"
#include "config/read.hpp"

namespace whinledge::config {
namespace {

using Lines = std::vector<std::string>;

const std::string kRest = R"([[listener]]
name = "l"
address = "127.0.0.1:80"
[pool.a.members]
source = "list"
list = ["127.0.0.1:1"]
[[route]]
name = "r"
pool = "a"
)";
const std::string kFleet = R"([fleet]
name = "archive"
self = "s1"
[[fleet.member]]
name = "s1"
address = "127.0.0.1:7946"
[[fleet.member]]
name = "s2"
address = "127.0.0.1:7947"
)";

std::string with(std::string text, const std::string& part, const std::string& other) {
    const auto at = text.find(part);
    EXPECT_NE(at, std::string::npos) << part;
    return at == std::string::npos ? text : text.replace(at, part.size(), other);
}
Services right(const std::string& fleet) {
    Result result = read_services(kRest + fleet, "f");
    for (const Fault& fault : result.faults) ADD_FAILURE() << fault.text();
    return result.services ? std::move(*result.services) : Services{};
}

TEST(FleetConfig, IsReadAndPrinted) {
    EXPECT_FALSE(right("").fleet);
    const Services s =
        right(with(kFleet, "self", "control = \"/run/w.sock\"\nprobe_period = \"200ms\"\nself"));
    ASSERT_TRUE(s.fleet);
    EXPECT_EQ(s.fleet->own().address, "127.0.0.1:7946");
    EXPECT_EQ(s.fleet->probe_period, 200);
    const std::string printed = print_services(s);
    EXPECT_TRUE(
        printed.ends_with("fleet archive: s1 of 2, probes each 200ms, control \"/run/w.sock\"\n"
                          "fleet archive member s1: 127.0.0.1:7946\n"
                          "fleet archive member s2: 127.0.0.1:7947\n"))
        << printed;
}

TEST(FleetConfig, EachSlipIsOneLine) {
    struct Slip {
        std::string from, to, fault;
    };
    const std::vector<Slip> slips{
        {"self = \"s1\"\n", "",
         "10: fleet.self: is missing; give the name of the member that this process is"},
        {"self = \"s1\"", "self = \"s3\"", "12: fleet.self: \"s3\" is none of the members"},
        {"name = \"archive\"\n", "",
         "10: fleet.name: is missing; give the fleet's name; datagrams of others are dropped"},
        {"name = \"s2\"", "name = \"s1\"", "17: fleet.member[1].name: there is \"s1\" already"},
        {"7947", "7946", "18: fleet.member.s2.address: \"127.0.0.1:7946\" is a member already"},
        {"127.0.0.1:7947", "0.0.0.0:7947",
         "18: fleet.member.s2.address: \"0.0.0.0:7947\" is not the address of one machine"},
        {"127.0.0.1:7947", "here",
         "18: fleet.member.s2.address: \"here\" is not a numeric IP:PORT such as \"127.0.0.1:8080\" or "
         "\"[::1]:8080\""},
        {"self", "probe_period = \"99ms\"\nself",
         "12: fleet.probe_period: 99ms is out of range, 100ms to 1m"},
        {"self", "control = \"run/w\"\nself",
         "12: fleet.control: \"run/w\" is not an absolute path, at most 107 printable ASCII characters"},
        {"self", "control = \"/" + std::string(107, 'x') + "\"\nself",
         "12: fleet.control: \"/" + std::string(59, 'x') +
             "...\" is not an absolute path, at most 107 printable ASCII characters"},
        {"self", "sefl = 1\nself",
         "12: fleet.sefl: unknown key; known here: name, self, control, probe_period, member, limit"},
    };
    for (const Slip& slip : slips) {
        const Result result = read_services(kRest + with(kFleet, slip.from, slip.to), "f");
        ASSERT_EQ(result.faults.size(), 1u) << slip.fault;
        EXPECT_EQ(result.faults[0].text(), "f:" + slip.fault);
    }
}

const std::string kLimit = R"([[fleet.limit]]
name = "deposits"
pool = "a"
classes = ["unsafe", "keyed"]
rate = 200
)";

TEST(FleetConfig, LimitsAreReadAndPrinted) {
    const Services s = right(kFleet + kLimit +
                             "[[fleet.limit]]\nname = \"open\"\npool = \"a\"\nopen = 64\nlease = \"2s\"\n");
    const std::string printed = print_services(s);
    EXPECT_NE(
        printed.find(
            "fleet archive limit deposits: of pool a, unsafe, keyed: 200 a second, 40 at once, strict, "
            "leases of 4s\nfleet archive limit open: of pool a, all classes: 64 open at once, each for 15s, "
            "strict, leases of 2s\n"),
        std::string::npos)
        << printed;
}

TEST(FleetConfig, EachSlipOfALimitIsOneLine) {
    const std::vector<std::array<std::string, 3>> slips{
        {"name = \"deposits\"\n", "",
         "fleet.limit[0].name: is missing; give the limit's name, the same at each member"},
        {"pool = \"a\"", "pool = \"b\"", "fleet.limit.deposits.pool: there is no pool \"b\""},
        {"\"keyed\"", "\"key\"", "fleet.limit.deposits.classes[1]: pool \"a\" has no class \"key\""},
        {"rate = 200\n", "", "fleet.limit.deposits.rate: is missing; give rate (a second) or open (at once)"},
        {"rate = 200", "rate = 200\nopen = 3", "fleet.limit.deposits.open: beside rate; give one of the two"},
        {"rate = 200", "rate = 0", "fleet.limit.deposits.rate: 0 is out of range, 0.001 to 1000000000"},
        {"rate = 200", "rate = 200\nburst = 0.5",
         "fleet.limit.deposits.burst: 0.5 is out of range, 1 to 1000000000"},
        {"rate = 200", "open = 2\nburst = 5", "fleet.limit.deposits.burst: of rate alone"},
        {"rate = 200", "rate = 200\nlongest = \"1s\"", "fleet.limit.deposits.longest: of open alone"},
        {"rate = 200", "rate = 200\nmode = \"loose\"",
         "fleet.limit.deposits.mode: \"loose\" is none of: strict"},
        {"rate = 200", "rate = 200\nlease = \"100ms\"",
         "fleet.limit.deposits.lease: 100ms is out of range, 500ms to 1m"}};
    for (const auto& [from, to, fault] : slips) {
        const Result result = read_services(kRest + kFleet + with(kLimit, from, to), "f");
        ASSERT_EQ(result.faults.size(), 1u) << fault;
        const std::string text = result.faults[0].text();
        EXPECT_EQ(text.substr(text.find(' ') + 1), fault);
    }
    EXPECT_FALSE(read_services(kRest + kFleet + kLimit + kLimit, "f").services) << "twice";
}

TEST(FleetConfig, WhatChangesIsTold) {
    const auto changes = [](const std::string& before, const std::string& after) {
        return describe(difference(right(before), right(after)));
    };
    EXPECT_EQ(changes(kFleet, "\n" + kFleet), Lines{});
    EXPECT_TRUE(difference(right(""), right("")).empty());
    EXPECT_EQ(changes("", kFleet), Lines{"fleet archive: added"});
    EXPECT_EQ(changes(kFleet, ""), Lines{"fleet archive: removed"});
    EXPECT_EQ(changes(kFleet, with(kFleet, "7947", "7948")),
              Lines{"fleet archive: changed in place (member)"});
    EXPECT_EQ(changes(kFleet, with(kFleet, "self", "control = \"/w\"\nself")),
              Lines{"fleet archive: changed in place (control)"});
    EXPECT_EQ(changes(kFleet, kFleet + kLimit), Lines{"fleet archive: changed in place (limit)"});
    EXPECT_EQ(changes(kFleet, with(kFleet, "self = \"s1\"", "self = \"s2\"")),
              Lines{"fleet archive: replaced (self)"});
    EXPECT_EQ(changes(kFleet, with(kFleet, "self", "probe_period = \"2s\"\nself")),
              Lines{"fleet archive: replaced (probe_period)"});
}

}  // namespace
}  // namespace whinledge::config
