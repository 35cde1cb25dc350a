// Messages between proposers and acceptors of the replicated register, and the records of an acceptor's disk.
namespace cpp whinledge.wire

include "control.thrift"

/** A value of the register as acceptors hold it. */
struct Entry {
  1: control.RegisterState state;
  2: list<control.Acceptor> seal;   // not empty: the last value of its epoch; these are the next epoch's acceptors
  3: list<i64> changes;             // ids of the changes that led to `state`, newest last, bounded
}

/** A value that a majority of its epoch's acceptors has accepted. With the ballot {0, 0} it is the epoch's first. */
struct ChosenValue {
  1: i64 epoch = 0;                 // 0: none
  2: list<control.Acceptor> acceptors;   // of this epoch
  3: control.Ballot ballot;
  4: Entry entry;                   // never a seal: that one is the first value of the epoch that it begins
}

// ---- Asked of one acceptor: `epoch` and `identity` are those that are meant ---------------------------------

/** Phase one: promise to take nothing lower, and tell what was accepted. */
struct PrepareRequest {
  1: i32 protocol = 1;
  2: i64 epoch = 0;
  3: i64 identity = 0;
  4: control.Ballot ballot;
  5: control.Ballot held;           // the asker holds the entry accepted with this ballot
  6: i64 held_sequence = 0;         // and this sequence: it need not be sent
}
/** Phase two. */
struct AcceptRequest {
  1: i32 protocol = 1;
  2: i64 epoch = 0;
  3: i64 identity = 0;
  4: control.Ballot ballot;
  5: Entry entry;
}
/** Tell what was accepted; promises nothing and costs no sync. */
struct QueryRequest {
  1: i32 protocol = 1;
  2: i64 epoch = 0;
  3: i64 identity = 0;
  4: control.Ballot held;
  5: i64 held_sequence = 0;
}

enum AcceptorStatus {
  ok = 0,
  higher_ballot = 1,   // it has promised `promised`
  superseded = 2,      // the epoch is sealed: `newer` is of a later one
  unknown_epoch = 3,   // it has not been told of this epoch yet: share the epoch's value, then ask again
  wrong_identity = 4,  // another disk answers here, or one that is no acceptor of the epoch
  not_stored = 5,      // its disk does not take it, or too much waits for its disk: for the asker as if no reply came
}
struct AcceptorReply {
  1: i32 protocol = 1;
  2: i32 status = 0;                // AcceptorStatus
  3: control.Ballot promised;
  4: control.Ballot accepted;
  5: optional Entry entry;          // absent: the asker holds it
  6: i64 sequence = 0;              // of the accepted entry
  7: optional ChosenValue newer;
}

// ---- Between all control processes ---------------------------------------------------------------------------

/** What a control process knows to be chosen. Serves to tell of a value just chosen, to install an epoch at its
    acceptors, to catch up after a cut, to hear who is there, and to find the disks that found the register. */
struct ShareRequest {
  1: i32 protocol = 1;
  2: control.NodeInfo who;
  3: bool founder = false;          // its disk was first used at the system's first boot
  4: i64 epoch = 0;
  5: control.Ballot ballot;
  6: optional ChosenValue value;    // absent: the other side is expected to hold it
}
struct ShareReply {
  1: i32 protocol = 1;
  2: control.NodeInfo who;
  3: bool founder = false;
  4: i64 epoch = 0;
  5: control.Ballot ballot;
  6: optional ChosenValue value;    // present: newer than what the asker knows
}

// ---- On an acceptor's disk -------------------------------------------------------------------------------------

/** One step of an acceptor, or with all fields its whole state. Fields that are absent stay as they were. */
struct AcceptorRecord {
  1: optional ChosenValue installed;     // a newer epoch: promises and accepted values begin anew with it
  2: optional control.Ballot promised;
  3: optional control.Ballot accepted;
  4: optional Entry entry;               // accepted with `accepted`
}
