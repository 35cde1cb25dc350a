// Messages by which a new version of a service is judged from what all proxies see (docs/design/rollouts.md).
namespace cpp whinledge.wire

/** What one proxy has seen of one route at one part of a service's servers, since the rollout began there. */
struct RolloutCell {
  1: i64 route = 0;           // hash of the route's name
  2: i32 group = 0;           // 0: servers of the old versions; from 1: a group of servers of the new version
  3: i32 ended = 0;           // attempts that ran to an end of the server's
  4: i32 failed = 0;          // of them
  // Of attempts that succeeded at warm servers, counts by bucket of a logarithmic scale of milliseconds:
  5: list<i32> paces;         // from the first event to the end; of answers that are no streams, their whole time
  6: list<i32> first_events;  // until the first event, of streams
}

/** A proxy's totals for one rollout: the newest replace those before. */
struct RolloutReport {
  1: i32 protocol = 1;
  2: i64 proxy = 0;           // drawn at the start of the process
  3: i64 sequence = 0;        // rises with each report of the proxy
  4: i64 number = 0;          // of the rollout
  5: i32 phase = 0;           // RolloutPhase that the proxy acts by
  6: i64 elapsed_ms = 0;      // since the order, as far as the proxy knows
  7: i32 open_old = 0;        // requests under way at servers of the old versions
  8: i32 open_new = 0;        // at servers of the new version
  9: list<RolloutCell> cells;
}
struct RolloutReportReply {
  1: i32 protocol = 1;
  2: bool permitted = false;  // the holder of the duty has been heard of late: the new version may be sent to
  3: i64 elapsed_ms = 0;      // since the order, as far as control processes know
  4: i32 open_new = 0;        // of all proxies
}

/** Control processes pass on what proxies have told them. */
struct RolloutExchange {
  1: i32 protocol = 1;
  2: string node;
  3: bool holds_duty = false;
  4: list<RolloutReport> reports;   // newer ones than were passed on before
  5: i64 number = 0;                // of the rollout that `elapsed_ms` is of; 0: none
  6: i64 elapsed_ms = 0;
}
struct RolloutExchangeReply {
  1: i32 protocol = 1;
}
