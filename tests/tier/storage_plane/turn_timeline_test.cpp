// Timelines of single turns as pictures (turn_timeline.hpp says how to read them).
#include "turn_timeline.hpp"

namespace whinledge::storage_plane::model {
namespace {

TEST(TurnTimeline, FirstTurnAndTheNextInTheSameZone) {
    expect_after_begin(R"(
       20 end t1 tokens 40 whole
       40 begin t2 budget 100 most 60 after t1)",
                       R"(
  20  end t1
  21                            copy t1 (AC), settle 40
  23                                                                                copy t1 (AC), settle 40
  23                                                      settle 40
  26  t1: durable
  40  begin t2
  41                            reserve 60
  43                                                      reserve 60                reserve 60
  46  t2: ok t1
)");
}

TEST(TurnTimeline, BudgetThatDoesNotHoldOneMoreTurn) {
    expect(R"(
        0 A counts t1 settled 50
        0 B counts t1 settled 50
        0 C counts t1 settled 50
        0 begin t2 budget 100 most 60)",
           R"(
   0  begin t2
   1                            reserve 60
   3                                                      reserve 60                reserve 60
   6  t2: 402
   7                            cancel t2
   9                                                      cancel t2                 cancel t2
)");
}

TEST(TurnTimeline, SettledEntryAtTheThirdMemberSavesTheTurn) {
    expect(R"(
        0 A counts t1 reserved 90
        0 B counts t1 reserved 90
        0 C counts t1 settled 10
        0 C slow 50
        0 begin t2 budget 100 most 60)",
           R"(
   0  begin t2
   1                            reserve 60
   3                                                      reserve 60
  27                            reserve 60
  29                                                      reserve 60
  53                                                                                reserve 60
  56  t2: ok
)");
}

TEST(TurnTimeline, MajorityUnreachable) {
    expect(R"(
        0 B down
        0 C down
        0 begin t1 budget 100 most 60
     1600 B up)",
           R"(
   0                                                      down                      down
   0  begin t1
   1                            reserve 60
1500  t1: 503
1501                            cancel t1
1600                                                      up
2703                                                      cancel t1
)");
}

// Each call to B and C is answered after the patience for it, and yet in time.
TEST(TurnTimeline, LateRepliesBeginATurn) {
    expect(R"(
        0 B slow 600
        0 C slow 600
        0 begin t1 budget 100 most 60)",
           R"(
   0  begin t1
   1                            reserve 60
 603                                                      reserve 60                reserve 60
 606  t1: ok
 607                            reserve 60
1209                                                      reserve 60
)");
}

TEST(TurnTimeline, LateRepliesMakeATurnDurable) {
    expect_after_begin(R"(
       10 B slow 1300
       10 C slow 1300
       20 end t1 tokens 40 whole)",
                       R"(
  20  end t1
  21                            copy t1 (AC), settle 40
1323                                                                                copy t1 (AC), settle 40
1323                                                      settle 40
1326  t1: durable
1473                                                      copy t1 (AB), settle 40
2323                                                                                settle 40
2523                                                                                copy t1 (AC), settle 40
2523                                                      settle 40
)");
}

TEST(TurnTimeline, ChainFromOtherZones) {
    expect(R"(
        0 B holds t1
        0 C holds t1
        0 B holds t2 after t1
        0 begin t3 budget 100 most 60 after t2)",
           R"(
   0  begin t3
   1                            reserve 60, read t2
   3                                                      reserve 60                reserve 60
   5                                                      read t2                   read t2
   8  t3: ok t1 t2
)");
}

TEST(TurnTimeline, ChainWithoutBudgetIsReadAtTheNearestFirst) {
    expect(R"(
        0 A holds t1
        0 begin t2 after t1)",
           R"(
   0  begin t2
   1                            read t1
   2  t2: ok t1
)");
}

TEST(TurnTimeline, SlowNearestMemberIsHedged) {
    expect(R"(
        0 A holds t1
        0 B holds t1
        0 A slow 300
        0 begin t2 after t1)",
           R"(
   0  begin t2
  43                                                      read t1                   read t1
  46  t2: ok t1
 301                            read t1
)");
}

TEST(TurnTimeline, NoSuchTurnWhenAllVotersSaySo) {
    expect(R"(
        0 begin t2 after t1)",
           R"(
   0  begin t2
   1                            read t1
   5                                                      read t1                   read t1
   8  t2: 404
)");
}

TEST(TurnTimeline, NothingIsDeniedWhileAMemberIsAway) {
    expect(R"(
        0 C down
        0 begin t2 after t1)",
           R"(
   0                                                                                down
   0  begin t2
   1                            read t1
   5                                                      read t1
1500  t2: 503
)");
}

TEST(TurnTimeline, NothingIsDeniedByADiskThatIsNotFilled) {
    expect(R"(
        0 C unfilled
        0 begin t2 after t1)",
           R"(
   0  begin t2
   1                            read t1
   5                                                      read t1                   read t1
 211                                                                                read t1
 617                                                                                read t1
1423                                                                                read t1
1500  t2: 503
)");
}

TEST(TurnTimeline, MissingParentIsNoReasonToDenyItsChild) {
    expect(R"(
        0 A holds t2 after t1
        0 begin t3 after t2)",
           R"(
   0  begin t3
   1                            read t2
   5                                                      read t1                   read t1
   8  t3: 503
)");
}

TEST(TurnTimeline, HolderThatIsAwayIsReplaced) {
    expect_after_begin(R"(
       10 A down
       20 end t1 tokens 40 whole)",
                       R"(
  10                            down
  20  end t1
  23                                                                                copy t1 (AC), settle 40
  23                                                      settle 40
 173                                                      copy t1 (CB), settle 40
 176  t1: durable
)");
}

// Its reservation had no reply: the record goes to others at once.
TEST(TurnTimeline, MemberThatWasSilentIsNotTheFirstHolder) {
    expect(R"(
        0 A down
        0 begin t1 budget 100 most 60
      700 end t1 tokens 40 whole
      800 begin t2 after t1)",
           R"(
   0                            down
   0  begin t1
   3                                                      reserve 60                reserve 60
  29                                                      reserve 60                reserve 60
  32  t1: ok
 700  end t1
 703                                                                                copy t1 (CB), settle 40
 703                                                      copy t1 (CB), settle 40
 706  t1: durable
 800  begin t2
 800  t2: ok t1
)");
}

TEST(TurnTimeline, TooFewHoldersForACopy) {
    expect(R"(
        0 A down
        0 B down
        0 end t1 tokens 40 whole)",
           R"(
   0                            down                      down
   0  end t1
   3                                                                                copy t1 (AC), settle 40
2000  t1: not durable
)");
}

TEST(TurnTimeline, TurnThatNeverRanGivesItsReservationBack) {
    expect_after_begin(R"(
       10 end t1 unrun)",
                       R"(
  10  end t1
  11                            cancel t1
  13                                                      cancel t1                 cancel t1
  16  t1: durable
)");
}

TEST(TurnTimeline, VotesOfAnOlderMapDoNotCount) {
    expect(R"(
        0 B slow 20
        0 C slow 20
        0 begin t1 budget 100 most 60
       10 map A B C)",
           R"(
   0  begin t1
   1                            reserve 60
  11                            reserve 60
  23                                                      reserve 60                reserve 60
  33                                                      reserve 60                reserve 60
  36  t1: ok
)");
}

TEST(TurnTimeline, NewerMapIsAwaited) {
    expect(R"(
        0 members A B C
        0 begin t1 budget 100 most 60
       50 map A B C)",
           R"(
   0  begin t1
   1                            reserve 60
   3                                                      reserve 60                reserve 60
  51                            reserve 60
  53                                                      reserve 60                reserve 60
  56  t1: ok
)");
}

TEST(TurnTimeline, JoiningMemberDoesNotVote) {
    expect(R"(
        0 C unfilled
        0 map A B C:joining
        0 B down
        0 begin t1 budget 100 most 60)",
           R"(
   0                                                      down
   0  begin t1
   1                            reserve 60
   3                                                                                reserve 60
 209                                                                                reserve 60
 615                                                                                reserve 60
1421                                                                                reserve 60
1500  t1: 503
1501                            cancel t1
1503                                                                                cancel t1
)");
}

TEST(TurnTimeline, RetiringMemberVotesAndTakesNoRecords) {
    expect(R"(
        0 map A:retiring B C
        0 begin t1 budget 100 most 60
       20 end t1 tokens 40 whole)",
           R"(
   0  begin t1
   1                            reserve 60
   3                                                      reserve 60                reserve 60
   6  t1: ok
  20  end t1
  21                            settle 40
  23                                                                                copy t1 (CB), settle 40
  23                                                      copy t1 (CB), settle 40
  26  t1: durable
)");
}

}  // namespace
}  // namespace whinledge::storage_plane::model
