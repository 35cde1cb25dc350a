// The fleet in a services file: each slip is one line, what is right is printed, what changes is told.
#include <gtest/gtest.h>

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
         "12: fleet.sefl: unknown key; known here: name, self, control, probe_period, member"},
    };
    for (const Slip& slip : slips) {
        const Result result = read_services(kRest + with(kFleet, slip.from, slip.to), "f");
        ASSERT_EQ(result.faults.size(), 1u) << slip.fault;
        EXPECT_EQ(result.faults[0].text(), "f:" + slip.fault);
    }
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
    EXPECT_EQ(changes(kFleet, with(kFleet, "self = \"s1\"", "self = \"s2\"")),
              Lines{"fleet archive: replaced (self)"});
    EXPECT_EQ(changes(kFleet, with(kFleet, "self", "probe_period = \"2s\"\nself")),
              Lines{"fleet archive: replaced (probe_period)"});
}

}  // namespace
}  // namespace whinledge::config
