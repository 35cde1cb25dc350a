// Messages of the storage plane: turns of conversations, and the token ledgers of programs.
namespace cpp whinledge.wire

/** A turn that has ended whole. Immutable: an id is written once. */
struct TurnRecord {
  1: string id;              // Try-Id
  2: string parent;          // Try-Id of the turn it continues; empty: none
  3: string program;
  4: binary input;
  5: binary output;          // the data of each event, each followed by a line feed
  6: i64 ended_ms = 0;       // time of day at the end of its answer
  7: i32 keep_for_s = 0;
  8: list<i64> holders;      // identities of the storage members that hold copies
  9: optional list<string> continued_programs;  // other programs with turns in its chain; absent: none
}

/** Ledger entries only move forward: a higher state replaces a lower one, whatever the order in which they come. */
enum EntryState { reserved = 0, settled = 1, cancelled = 2 }
struct LedgerEntry {
  1: string turn;            // Try-Id
  2: i64 tokens = 0;         // reserved: the most it can put out; settled: what its client was given
  3: i32 state = 0;          // EntryState
}

enum StorageStatus {
  ok = 0,
  not_voting = 1,            // its disk is new and not filled yet: it must not say that something does not exist
  stale_map = 2,             // the caller's map is older than this member's
  unknown_map = 3,           // the caller's map is newer: this member has to catch up first
  full = 4,
  not_member = 5,            // another identity answers at this address
  conflict = 6,              // a turn of this id is held with other bytes
}

/** What a proxy has under way at one model server. */
struct ServerRequests {
  1: i32 server = 0;         // the low bits of xxHash64(its id)
  2: i32 requests = 0;
}
/** What a proxy has under way, told with its turns; all members sum up what they are told. */
struct LoadReport {
  1: i64 proxy = 0;          // drawn at its start
  2: i64 number = 0;         // of its reports, rising: one that comes late is not taken
  3: list<ServerRequests> under_way;  // at all servers where that is anything
  4: list<i32> asked;        // servers, as above, whose requests from other proxies are to be told
}

/** Before a turn is sent: reserves its tokens (synced before the answer) and reads the chain it continues. */
struct BeginTurnRequest {
  1: i32 protocol = 1;
  2: i64 map_epoch = 0;
  3: i64 identity = 0;       // of the member that is meant
  4: string program;
  5: string turn;            // Try-Id
  6: i64 reserve = 0;        // tokens; 0: no ledger is kept for this program
  7: string previous;        // empty: none
  8: i32 keep_for_s = 0;
  9: optional i64 ended_digest;  // of the program's ended entries that the caller knows; absent: it knows none
  10: optional LoadReport load;
}
struct BeginTurnReply {
  1: i32 status = 0;         // StorageStatus
  2: i64 map_epoch = 0;
  3: list<LedgerEntry> entries;      // of this program, the one just made included
  4: list<TurnRecord> chain;         // from `previous` back, as far as this member holds it
  5: optional bool same_ended;       // it holds just the ended entries of the caller's digest: `entries` leaves them out
  6: optional list<i32> other_requests;  // of other proxies, by server asked for in the load report
  7: i32 load_age_ms = 0;    // of what proxies have told, in the mean
}

/** After a turn: writes its record (where there is one) and settles its reservation; synced before the answer. */
struct EndTurnRequest {
  1: i32 protocol = 1;
  2: i64 map_epoch = 0;
  3: i64 identity = 0;
  4: string program;
  5: LedgerEntry entry;
  6: optional TurnRecord record;
  7: i32 keep_for_s = 0;
  8: optional LoadReport load;
}
struct EndTurnReply {
  1: i32 status = 0;         // StorageStatus
  2: i64 map_epoch = 0;
}

struct ReadTurnsRequest {
  1: i32 protocol = 1;
  2: i64 map_epoch = 0;
  3: i64 identity = 0;
  4: string id;              // the newest turn of the chain that is asked for
}
struct ReadTurnsReply {
  1: i32 status = 0;         // StorageStatus
  2: i64 map_epoch = 0;
  3: list<TurnRecord> chain;
}

// ---- Between storage members: repair -----------------------------------------------------------------------

/** Digests over ranges: the space of xxHash64(program) cut into `ranges` equal parts. */
struct DigestRequest {
  1: i32 protocol = 1;
  2: i64 asker = 0;          // identity
  3: i64 map_epoch = 0;
  4: i32 ranges = 256;
}
struct DigestReply {
  1: i32 status = 0;         // StorageStatus
  2: list<i64> digests;      // by range, of the turns that both should hold and of all ledgers
}
struct ProgramLedger {
  1: string program;
  2: list<LedgerEntry> entries;
  3: i64 touched_ms = 0;
  4: i32 keep_for_s = 0;
  5: i64 left_ms = 0;       // until its sender lets go of the program; durations outlive steps of the clock
  6: optional i64 digest;   // of its sender's entries, which are left out then
  7: optional list<string> continued_programs;  // kept for as long as this one; absent: none
}
/** What a member has learned, in its own order: each member follows every other's changes. */
struct ChangesRequest {
  1: i32 protocol = 1;
  2: i64 asker = 0;          // identity
  3: i64 map_epoch = 0;      // both sides must have the same map: it says what the asker should hold
  4: i64 run = 0;            // the answerer's, as it said before; 0: none
  5: i64 cursor = 0;         // the asker has synced all it should hold up to here: an acknowledgement
  6: i32 limit = 0;          // changes in one reply, at most
  7: bool everything = false;  // all ledger entries, also those that the members which stand for a program tell
  8: bool digests = false;     // digests in place of ledger entries (not with `everything`)
  9: bool own_turns = false;   // turns that it does not hold as a matter of course may be left out
  10: optional bool incomplete;  // turns up to the cursor were not taken, for want of room
  11: optional bool anew;        // asked for again, as other members can take copies now than before
}
struct TurnHead {
  1: string id;
  2: i64 bytes = 0;
  3: list<i64> holders;      // as its sender knows them; those of all who hold the turn are merged
  4: optional i64 unconfirmed;  // bit i: holders[i] is named, and has not told its sender of the turn; absent: none
}
struct ChangesReply {
  1: i32 status = 0;         // StorageStatus
  2: i64 map_epoch = 0;
  3: i64 run = 0;            // of the answering process; the cursor of another run is void
  4: i64 cursor = 0;
  5: bool more = false;
  6: list<TurnHead> turns;   // those that the asker should hold, and others: it works that out
  7: list<ProgramLedger> ledgers;
  8: optional bool full;     // it takes no copies from other members at present
}
struct FetchRequest {
  1: i32 protocol = 1;
  2: list<string> ids;
  3: list<string> programs;  // whose ledger entries are asked for
  4: i64 run = 0;            // of the process that told of them; another one at its address gives nothing; 0: any
  5: optional i64 repairing_ms;  // for how long the asker has repaired; absent: an earlier build
}
struct FetchReply {
  1: i32 status = 0;         // StorageStatus
  2: list<TurnRecord> turns;       // those held; cut short where the reply would grow too large
  3: list<ProgramLedger> ledgers;  // of the programs asked for; and of those of the turns, without entries: how
                                   // long they are kept
}
/** Pushes what another member should hold and may lack. */
struct StoreRequest {
  1: i32 protocol = 1;
  2: list<TurnRecord> turns;
  3: list<ProgramLedger> ledgers;
}
struct StoreReply {
  1: i32 status = 0;         // StorageStatus
}
