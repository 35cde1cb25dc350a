// Messages of the control plane: the replicated register, watches of what it holds, leases, and the servers list.
//
// Enumerations travel as i32, here and in the other files: what Thrift generates for a field of an enumeration can't
// hold a number that it does not know. The bytes are the same. rpc/known_values.hpp refuses unknown numbers.
namespace cpp whinledge.wire

/** A proposal number: higher rounds win; the proposer's identity breaks ties and names its owner. */
struct Ballot {
  1: i64 round = 0;
  2: i64 proposer = 0;
}

/** A disk that votes. `identity` is drawn when its empty folder is first used; a wiped disk is another acceptor. */
struct Acceptor {
  1: i64 identity = 0;
  2: string node;
  3: string zone;
  4: string address;   // IP:PORT of its RPC server
  5: optional string region;  // absent: no loss of regions is to be borne
}

/** A configuration that was taken: what a repeated order of the operator is compared with. */
struct TakenChange {
  1: i64 version = 0;
  2: i64 based_on = 0;
  3: i64 digest = 0;   // xxHash64 of the body as it was sent
}

enum StorageState { joining = 0, member = 1, retiring = 2 }

/** A storage disk that holds replicas. A wiped disk is another identity. */
struct StorageMember {
  1: i64 identity = 0;
  2: string node;
  3: string zone;
  4: string address;   // IP:PORT of its RPC server
  5: i32 state = 0;     // StorageState
  6: optional string region;  // absent: no loss of regions is to be borne
}

/** What has to be borne at once: so many machines, or zones, or regions. */
struct LossTolerance {
  1: i32 machines = 0;
  2: i32 zones = 0;
  3: i32 regions = 0;
}

/** A storage disk that left the map while it was silent: it may come back with all that it held. */
struct AwayStorage {
  1: i64 identity = 0;
  2: string node;
  3: string address;
  4: i32 keep_for_s = 0;   // it may hold turns that have to be kept for so long
}

struct StorageMap {
  1: i64 epoch = 0;                     // rises with each change
  2: list<StorageMember> members;
  3: i32 ledger_group = 0;              // voters that keep a program's ledger; 0, or no more voters: all of them
  4: optional LossTolerance survive;    // by which ledgers are decided; absent: machines alone may be lost
  5: optional list<AwayStorage> away;   // absent: none
}

/** How far a rollout is; it only moves forward. */
enum RolloutPhase {
  trial = 0,      // a part of the requests goes to the new version
  shifting = 1,   // nothing new goes to the old versions, whose servers still run
  finished = 2,   // the old servers stop
  reverted = 3,   // nothing goes to the new version
}

/** The newest rollout of a service. */
struct Rollout {
  1: i64 number = 0;                    // rises with each order taken
  2: string service_name;
  3: string new_version;
  4: i64 within_ms = 0;                 // from the order to its deadline
  5: i32 phase = 0;                     // RolloutPhase
  6: i64 elapsed_ms = 0;                // since the order, as known when `phase` was recorded
  7: i64 fencing = 0;                   // of the lease under which `phase` was recorded; 0: none was needed
  8: string evidence;                   // what led to `phase`, for people
  9: i32 base_version = 0;              // version_id() of what the service ran as the order came; 0: not known
  10: list<string> rejected_versions;   // that earlier rollouts reverted, newest last, bounded
}

/** All that the register holds. `sequence` rises by one with each value chosen. */
struct RegisterState {
  1: i64 sequence = 0;
  2: i64 version = 0;                   // of the configuration; 0: none taken yet
  3: binary configuration;              // the operator's JSON, byte for byte
  4: list<TakenChange> taken;           // oldest first, bounded
  5: StorageMap storage;
  6: list<string> retired;              // nodes of storage that were emptied and may be removed
  7: list<i64> removed_storage;         // identities that are members no more, newest last, bounded
  8: list<Rollout> rollouts;            // by service, the newest of each
  9: optional i32 longest_keep_for_s;   // of all configurations taken, for turns; absent: an earlier build's
}

// ---- What processes learn from control ---------------------------------------------------------------------

/** A server as the platform's list shows it. */
struct ListedServer {
  1: string id;
  2: string service_name;
  3: string address;
  4: string zone;
  5: bool draining = false;
  6: i32 slots = 0;
  7: i32 cold_left_ms = 0;
  // 8 and 9 are taken: earlier builds send them, empty.
  10: i32 version = 0;     // version_id() of its software, the same for as long as the server runs; 0: not told
}

/** The servers list as one reader saw it. A list with a higher (term, sequence) replaces one with a lower. */
struct ServersList {
  1: i64 term = 0;        // the fencing number of the reader's lease
  2: i64 sequence = 0;    // rises with each change that this reader saw
  3: list<ListedServer> servers;
}

/** What makes a newer list of the one that the base names. Whoever holds another asks for the whole. */
struct ServersDifference {
  1: i64 base_term = 0;
  2: i64 base_sequence = 0;
  3: i64 term = 0;
  4: i64 sequence = 0;
  5: list<string> removed;       // ids
  6: list<ListedServer> put;     // new or changed
  7: i64 digest = 0;             // of all servers of the newer list
}

enum NodeRole { edge = 0, control = 1, storage = 2 }

/** A process as it introduces itself. */
struct NodeInfo {
  1: string node;
  2: string zone;
  3: string address;      // IP:PORT of its RPC server
  4: i32 role = 0;        // NodeRole
  5: i64 identity = 0;    // of its disk; of the process where it has none
  6: i64 started_ms = 0;  // time of day at its start
  7: optional string region;  // absent: no loss of regions is to be borne
}

/** What a storage process holds, and how far it is with its repair. Bytes are those of turns' inputs and outputs. */
struct StorageProgress {
  1: i64 held_turns = 0;
  2: i64 held_bytes = 0;          // of its log on disk, what has expired in it included
  3: i64 lacking_turns = 0;       // that it has heard of, should hold and has not pulled yet
  4: i64 unfollowed_members = 0;  // others that it has not heard to their end under its map: it may lack more
  5: i64 taken_bytes = 0;         // by repair from other members, since its start
  6: i64 given_bytes = 0;         // by repair to other members, since its start
  7: bool voting = false;         // its disk holds all that it should, and it has followed the others
  8: i64 paced_replies = 0;       // to others' repair that were kept short beside turns, since its start
}

/** Long poll: answered as soon as there is something newer than what the caller has, or when `wait_ms` are over. */
struct WatchRequest {
  1: i32 protocol = 1;
  2: NodeInfo who;
  3: i64 sequence = 0;        // of the register's state that the caller has; 0: none
  4: i64 list_term = 0;
  5: i64 list_sequence = 0;
  6: i32 wait_ms = 0;
  7: bool fresh = false;      // read the register at a majority before answering: what is told is current
  8: string storage_note;     // a storage node's progress: "", "synced" or "emptied"
  9: bool announce_only = false;  // say that there is something newer, but don't send it: it comes from another
  10: bool differences = false;   // a difference to the list that the caller has is welcome
  11: i64 controls_version = 0;   // of `controls` as this answerer told them last; 0: tell them
  12: optional StorageProgress storage_progress;  // of a storage node
}
struct WatchReply {
  1: i32 protocol = 1;
  2: optional RegisterState state;     // absent: no newer one than the caller's
  3: optional ServersList servers;
  4: list<NodeInfo> controls;          // control processes known to the answerer, itself included; see 12
  5: bool fresh = false;               // `state`, or the caller's own where it is absent, was current at a majority
  6: bool list_alive = false;          // somebody reads the platform's list at present
  7: i64 sequence = 0;                 // newest that the answerer knows, sent or not
  8: i64 list_term = 0;
  9: i64 list_sequence = 0;
  10: bool relay = false;              // so many processes watch that states and lists come by the overlay
  11: optional ServersDifference difference;  // in place of `servers`, to the list that the caller has
  12: i64 controls_version = 0;        // of `controls`, which are left out where the caller named it; 0: all are here
  13: optional i32 proxies;            // live edge processes, as the answerer can tell; absent: not known
}

// ---- Between control processes -----------------------------------------------------------------------------

/** A storage process as a control process last heard it in a watch. */
struct SeenStorage {
  1: NodeInfo who;
  2: i64 ago_ms = 0;
  3: string storage_note;
  4: i64 sequence = 0;                 // of the register's state that it had when it said the note
  5: optional StorageProgress storage_progress;  // absent: of an earlier build
}

/** Told to every control process about once a second. */
struct HelloRequest {
  1: i32 protocol = 1;
  2: NodeInfo who;
  3: list<SeenStorage> storages;       // heard directly, not by hearsay
  4: optional i32 watching_proxies;    // edge processes that have watched the sender of late; absent: an earlier build
}
struct HelloReply {
  1: i32 protocol = 1;
  2: NodeInfo who;
  3: list<NodeInfo> controls;          // heard of late, itself left out
}

/** Asks one grantor for a lease, or for more time. `hold_ms` 0 gives it up. */
struct LeaseRequest {
  1: i32 protocol = 1;
  2: string lease;
  3: i64 holder = 0;                   // drawn at the start of the process
  4: string node;                      // of the holder, for people
  5: i32 hold_ms = 0;
  6: i64 fencing = 0;                  // the number that the holder would hold it under
  7: optional i64 epoch;               // of the register, whose acceptors the holder counts as voters
  8: optional bool renews;             // the holder holds it as it asks
}
struct LeaseReply {
  1: i32 protocol = 1;
  2: bool granted = false;
  3: i64 fencing = 0;                  // highest that this grantor has seen for the lease
  4: string node;                      // who holds it, where it was not granted
}

/** The reader of the platform's list tells each control process after every read. */
struct ListNews {
  1: i32 protocol = 1;
  2: string node;
  3: i64 term = 0;
  4: i64 sequence = 0;
  5: optional ServersList servers;     // absent where the other has it
  6: optional ServersDifference difference;  // in place of `servers`, to the list that the other has
}
struct ListNewsReply {
  1: i32 protocol = 1;
  2: i64 term = 0;                     // what the other has now; 0, 0: the whole list, please
  3: i64 sequence = 0;
  4: bool differences = false;         // the other takes them
}
