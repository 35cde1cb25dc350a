// A drain in haste, by a services file.
#include "rig/service_rig.hpp"

namespace whinledge::test {
namespace {

using Haste = ServiceRig;

// Its request lies unread as haste begins: read then, it ends with all others.
TEST_F(Haste, WhatIsTakenAtTheLastMomentHasItsEndToo) {
    start(three());
    a.script = silence;
    RawClient& client = raw.emplace_back(io, edge());
    until([&] { return daemon->clients() == 1; });
    bool done = false;
    daemon->drain([&] { done = true; });
    client.send(get("/archive/1"));
    daemon->hurry();
    until([&] { return done; });
    EXPECT_TRUE(client.text.starts_with("HTTP/1.1 50")) << client.text;
}

}  // namespace
}  // namespace whinledge::test
