#include "node/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace whinledge::node {
namespace {

constexpr const char* kEdge =
    "node=edge-1\nrole=proxy\nmachineClass=edge\nserves=edge\nip=10.1.0.30\nzone=a\nzones.a=north\nzones.b="
    "north\n"
    "listenOn.public=10.1.0.30:8149\nlistenOn.readiness=10.1.0.30:8141\nsparePorts=7380,7395\n"
    "seedNodes=10.1.0.33:8144,10.2.0.37:8144\nfirstBoot=true\nlimits.cpuPart=0.25\nguarantees.syncS=4.1\n";

SettingsError error_of(const std::string& text) {
    const auto read = parse_settings(text, "node.conf");
    EXPECT_FALSE(read);
    return read ? SettingsError{} : read.error();
}

TEST(NodeSettings, AFileIsReadIntoItsTypes) {
    const auto read = parse_settings(kEdge, "node.conf");
    ASSERT_TRUE(read) << read.error().message;
    const Settings& settings = read.value();
    EXPECT_EQ(settings.node, "edge-1");
    EXPECT_TRUE(settings.first_boot);
    EXPECT_DOUBLE_EQ(settings.cpu_part, 0.25);
    EXPECT_DOUBLE_EQ(settings.sync_s, 4.1);
    EXPECT_EQ(settings.rpc_address(), "10.1.0.30:7380");
    EXPECT_EQ(settings.seed_rpc_addresses(), (std::vector<std::string>{"10.1.0.33:7380", "10.2.0.37:7380"}));
    EXPECT_EQ(settings.zone_regions.at("b"), "north");
}

TEST(NodeSettings, LossesOfZonesAskForCopiesAsThoseOfMachinesDo) {
    const auto losses = [](const std::string& lines) {
        return parse_settings(kEdge + lines, "node.conf").value().survive().most();
    };
    EXPECT_EQ(losses(""), 0);
    EXPECT_EQ(losses("survive.machineLosses=2\nsurvive.zones=1\n"), 2);
    EXPECT_EQ(losses("survive.machineLosses=0\nsurvive.zones=1\n"), 1);
}

TEST(NodeSettings, FieldsThatAreNotKnownAreIgnored) {
    EXPECT_TRUE(parse_settings(std::string(kEdge) + "some.new=field\n\n# a comment\n", "node.conf"));
}

TEST(NodeSettings, WhatIsMissingIsNamedWithItsRemedy) {
    const SettingsError error = error_of("node=edge-1\n");
    EXPECT_EQ(error.fault, SettingsFault::missing);
    EXPECT_NE(error.message.find("'role' is missing"), std::string::npos);
    EXPECT_NE(error.message.find("add a line role=VALUE"), std::string::npos);
}

TEST(NodeSettings, ABadLineIsNamedByItsNumber) {
    const SettingsError error = error_of("node=edge-1\nnonsense\n");
    EXPECT_EQ(error.fault, SettingsFault::bad_line);
    EXPECT_NE(error.message.find("node.conf:2"), std::string::npos);
}

TEST(NodeSettings, ValuesAreHeldToTheirTypesAndBounds) {
    EXPECT_EQ(error_of(std::string(kEdge) + "firstBoot=perhaps\n").fault, SettingsFault::bad_value);
    EXPECT_EQ(error_of(std::string(kEdge) + "limits.memoryMb=12x\n").fault, SettingsFault::bad_value);
    EXPECT_EQ(error_of(std::string(kEdge) + "limits.memoryMb=1\n").fault, SettingsFault::out_of_bounds);
    EXPECT_EQ(error_of(std::string(kEdge) + "guarantees.syncS=nan\n").fault, SettingsFault::bad_value);
}

TEST(NodeSettings, ContradictionsAreFaults) {
    EXPECT_EQ(error_of(std::string(kEdge) + "listenOn.public=\n").fault, SettingsFault::contradiction);
    EXPECT_EQ(error_of(std::string(kEdge) + "serves=storage\n").fault, SettingsFault::contradiction);
    EXPECT_EQ(error_of(std::string(kEdge) + "sparePorts=\n").fault, SettingsFault::contradiction);
}

TEST(NodeSettings, AnUnreadableFileNamesTheVariable) {
    const auto read = read_settings("/nonexistent/node.conf");
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().fault, SettingsFault::unreadable_file);
    EXPECT_NE(read.error().message.find("WHINLEDGE_BOOT"), std::string::npos);
}

struct FileOfSettings {
    explicit FileOfSettings(const std::string& text) { std::ofstream(path) << text; }
    ~FileOfSettings() { std::remove(path.c_str()); }
    std::string path = testing::TempDir() + "node_settings_test." + std::to_string(::getpid()) + ".conf";
};

TEST(NodeSettings, OverridesComeAfterTheFileAndAreHeldToTheSameBounds) {
    const FileOfSettings file(std::string(kEdge) + "overload.boundPrograms=false");
    EXPECT_FALSE(read_settings(file.path).value().bound_programs);
    EXPECT_TRUE(read_settings(file.path, {"overload.boundPrograms=true"}).value().bound_programs);
    const auto wrong = read_settings(file.path, {"overload.boundPrograms=2"});
    ASSERT_FALSE(wrong);
    EXPECT_EQ(wrong.error().fault, SettingsFault::bad_value);
}

TEST(NodeSettings, ProgramsAreNotBoundUnlessASettingSaysSo) {
    EXPECT_FALSE(parse_settings(kEdge, "node.conf").value().bound_programs);
}

TEST(NodeSettings, HelpNamesEverySetting) {
    const std::string help = settings_help();
    for (const char* key : {"node", "guarantees.pass_ms", "cloudApi.perS", "dataFolder", "zones.NAME"})
        EXPECT_NE(help.find(key), std::string::npos) << key;
}

}  // namespace
}  // namespace whinledge::node
