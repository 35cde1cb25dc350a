// Pages of control processes as text.
#include "ctl/page_text.hpp"

#include <gtest/gtest.h>

namespace whinledge::ctl {
namespace {

TEST(PageText, ListsAreTablesAfterSingleValues) {
    EXPECT_EQ(
        page_text(
            R"({"self":"core-1","majority":2,"acceptors":[)"
            R"({"node":"core-1","zone":"north","address":"10.0.0.1:7380","identity":7,"present":true},)"
            R"({"node":"core-12","zone":"s","address":"10.0.0.2:7380","identity":8,"present":false}]})"),
        "majority: 2\n"
        "self: core-1\n"
        "acceptors:\n"
        "node     zone   address        identity  present\n"
        "core-1   north  10.0.0.1:7380  7         yes\n"
        "core-12  s      10.0.0.2:7380  8         no\n");
}

TEST(PageText, ObjectsAreLinesOfTheirOwn) {
    EXPECT_EQ(page_text(R"({"list":{"alive":true,"term":4},"node":"","retired":["a","b"],"servers":[]})"),
              "list.alive: yes\n"
              "list.term: 4\n"
              "node: -\n"
              "retired: a, b\n"
              "servers: none\n");
}

TEST(PageText, RowsMayLackFields) {
    EXPECT_EQ(page_text(R"({"rows":[{"id":"x","note":null},{"id":"y"}]})"),
              "rows:\n"
              "id  note\n"
              "x   -\n"
              "y   -\n");
}

TEST(PageText, ReplicasAreATableOfWhatEachHoldsAndLacks) {
    EXPECT_EQ(
        page_text(
            R"({"epoch":3,"members":[)"
            R"({"node":"storage-1","zone":"n","state":"member","identity":7,"heardMsAgo":40,"voting":true,)"
            R"("heldTurns":900,"heldBytes":70000,"lackingTurns":0,"unfollowedMembers":0,)"
            R"("repairTakenBytes":0,"repairGivenBytes":512},)"
            R"({"node":"storage-2","zone":"s","state":"member","identity":8,"heardMsAgo":90,"voting":null,)"
            R"("heldTurns":null,"heldBytes":null,"lackingTurns":null,"unfollowedMembers":null,)"
            R"("repairTakenBytes":null,"repairGivenBytes":null}],"retired":["storage-9"]})"),
        "epoch: 3\n"
        "members:\n"
        "node       state   zone  identity  heardMsAgo  heldBytes  heldTurns  lackingTurns  repairGivenBytes"
        "  repairTakenBytes  unfollowedMembers  voting\n"
        "storage-1  member  n     7         40          70000      900        0             512             "
        "  0                 0                  yes\n"
        "storage-2  member  s     8         90          -          -          -             -               "
        "  -                 -                  -\n"
        "retired: storage-9\n");
}

TEST(PageText, OpeningsAreATableByServiceAndKey) {
    EXPECT_EQ(
        page_text(R"({"self":"core-1","nodes":3,"openings":[{"opening":"00000000000000c8","perSecond":4.5,)"
                  R"("service":"chat","share":0.3,"tokens":3000,"trend":-1.25}]})"),
        "nodes: 3\n"
        "self: core-1\n"
        "openings:\n"
        "service  opening           perSecond  share  tokens  trend\n"
        "chat     00000000000000c8  4.5        0.3    3000    -1.25\n");
}

TEST(PageText, WhatIsNoObjectIsLeftAsItIs) {
    for (const char* text : {"", "[1]", "<html>", "{"}) EXPECT_EQ(page_text(text), std::string(text) + "\n");
}

}  // namespace
}  // namespace whinledge::ctl
