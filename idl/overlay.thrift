// Messages of the overlay: who knows whom, and the tree by which states and lists reach many processes.
namespace cpp whinledge.wire

/** A process that takes part, as others know it. */
struct OverlayContact {
  1: string address;          // IP:PORT of its RPC server
  2: i64 incarnation = 0;     // drawn at the start of the process; 0: not known
  3: bool control = false;    // a control process: a root of the tree
  4: string zone;             // bytes between zones are dear
}

// ---- Partial view ------------------------------------------------------------------------------------------

/** Asks for a link. */
struct NeighbourRequest {
  1: bool urgent = false;     // the asker has next to no links: make room
  2: bool joining = false;    // the asker knows next to nobody: tell it of others
}
struct NeighbourReply {
  1: bool accepted = false;
  2: list<OverlayContact> contacts;
}

/** A newcomer on a random walk, so that others than the one it asked come to know it. */
struct ForwardJoin {
  1: OverlayContact newcomer;
  2: i32 hops_left = 0;
}

/** An exchange of contacts; the reply holds as many of the other's. */
struct ShuffleContacts {
  1: list<OverlayContact> contacts;
}

// ---- Relay tree --------------------------------------------------------------------------------------------

/** A version of what one topic holds; a higher (term, sequence) replaces a lower. */
struct TopicVersion {
  1: i32 topic = 0;
  2: i64 term = 0;
  3: i64 sequence = 0;
  4: i32 hops = 0;            // links it has passed until the sender
}
struct TopicPush {
  1: TopicVersion version;
  2: binary body;
  3: i32 hops = 0;            // links it has passed
  4: optional TopicVersion base;  // `body` is the difference to this version; absent: the whole
}

/** Between linked processes. All parts may be empty: that is a sign of life. */
struct RelayMessage {
  1: list<TopicPush> pushes;
  2: list<TopicVersion> held;      // what the sender has
  3: list<TopicVersion> grafts;    // send newer ones than these, now and from now on
  4: i64 root_age_ms = 0;          // how old the sender's newest sign of a root is
  5: bool prune = false;           // digests suffice from now on
  6: bool differences = false;     // the sender takes pushes with a base
}
struct RelayReply {
  1: bool linked = false;          // false: the answerer holds no link with the caller
  2: list<TopicVersion> held;
  3: list<TopicVersion> grafts;
  4: bool prune = false;           // a push was not needed: digests suffice from now on
  5: i64 root_age_ms = 0;
  6: bool differences = false;     // the answerer takes pushes with a base
}

// ---- The call ----------------------------------------------------------------------------------------------

/** One part at a time. */
struct OverlayRequest {
  1: i32 protocol = 1;
  2: OverlayContact sender;
  3: optional NeighbourRequest neighbour;
  4: optional ForwardJoin forward_join;
  5: optional ShuffleContacts shuffle;
  6: bool disconnect = false;      // the sender has given up the link
  7: optional RelayMessage relay;
}
struct OverlayReply {
  1: i32 protocol = 1;
  2: i64 incarnation = 0;          // the answerer's
  3: optional NeighbourReply neighbour;
  4: optional ShuffleContacts shuffle;
  5: optional RelayReply relay;
}
