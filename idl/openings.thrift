// Messages by which processes share which openings of prompts are busiest (docs/design/openings.md).
namespace cpp whinledge.wire

/** The leading parts of a prompt that requests of several programs share. */
struct OpeningRate {
  1: i64 key = 0;             // of its last part and the model: alike in all processes
  2: i32 tokens = 0;          // of all its parts
  3: i32 per_kilosecond = 0;  // requests that begin so, in 1,000 s, at the pace of late
}

/** Requests to the model servers of one service, of late. */
struct ServiceOpenings {
  1: string service_name;
  2: i32 per_kilosecond = 0;        // all its requests
  3: list<OpeningRate> openings;    // those that spare most first; bounded
}

/** A proxy tells what has come through it, and asks what has come through all. */
struct OpeningsRequest {
  1: i32 protocol = 1;
  2: i64 node = 0;                  // drawn at the start of the process
  3: i64 sequence = 0;              // rises with each request of the node
  4: list<ServiceOpenings> seen;
  5: i64 known_source = 0;          // whose sum the asker holds; 0: none
  6: i64 known_version = 0;         // and which of its sums
}
struct OpeningsReply {
  1: i32 protocol = 1;
  2: i64 source = 0;                // the answering process, drawn at its start
  3: i64 version = 0;               // rises with each sum of that process
  4: bool unchanged = false;        // the asker holds this one; `sum` is left out
  5: list<ServiceOpenings> sum;
}

/** A node that has begun to tell a control process of late, and so tells nobody else any more. */
struct OpeningsNewcomer {
  1: i64 node = 0;
  2: i64 sequence = 0;              // of its newest word there: older words count no more
}

/** A control process tells the others what the nodes that tell it itself have seen together. */
struct OpeningsSubtotal {
  1: i32 protocol = 1;
  2: i64 source = 0;
  3: i64 sequence = 0;              // rises with each subtotal of that process
  4: list<ServiceOpenings> subtotal;
  5: list<OpeningsNewcomer> newcomers;
}
struct OpeningsSubtotalReply {
  1: i32 protocol = 1;
}
