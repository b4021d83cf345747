// Messages between gateway processes.
// After a change run `make thrift` and commit the generated code.
namespace py dandelionlead.cluster.gen

// Load that one process puts on an endpoint with its own requests.
struct EndpointLoad {
  1: string endpoint_id
  2: i32 runs
  3: i32 tokens
  4: i32 prefill_tokens
  // Generations that are lost if the endpoint ends now: they have no backup and
  // cannot be restarted at another endpoint.
  5: i32 unsaved_runs
}

// An endpoint that crashed while it ran a request with this fingerprint.
struct CrashMark {
  1: string fingerprint
  2: string endpoint_id
}

// Outcomes of one process' calls to an endpoint that fails; the weight of each
// outcome decreases with its age.
struct EndpointHealth {
  1: string endpoint_id
  2: double answers
  3: double failures
}

// Calls of one process to the new or the old version of a service during a
// rollout.
struct VersionCount {
  1: string service_name
  // Version of the store at which the rollout was ordered; it identifies the
  // rollout.
  2: i64 order_version
  3: bool is_new
  4: i32 sent
  5: i32 answers
  6: i32 failures
  7: double total_s
}

// The final state of a rollout, as it is written in the store.
struct Verdict {
  1: string service_name
  2: i64 order_version
  // "completed" or "rolled_back"
  3: string state
}

// The whole state that a process publishes to its peers; a later heartbeat
// replaces an earlier one.
struct Heartbeat {
  1: string node
  // Increases with each start of the process.
  2: i64 incarnation
  3: i64 sequence
  4: string host
  5: string availability_zone
  // Address that accepts calls, IP:PORT.
  6: string front
  7: bool ready
  8: bool stopping
  // Version of the last change of the orders table, and of the last change of
  // the endpoints table that affects the choice of an endpoint.
  9: i64 orders_version
  10: i64 endpoints_version
  // Milliseconds since the store confirmed that the orders table is current;
  // negative if it never did.
  11: i32 confirmed_ms_ago
  12: list<EndpointLoad> loads
  // Ids of endpoints that are about to shut down.
  13: list<string> leaving
  14: list<CrashMark> crashes
  15: list<VersionCount> versions
  // Hosts of some other processes, so that peers discover each other.
  16: list<string> known_hosts
  // Milliseconds since this process read the endpoints table from the store;
  // negative if it never did.
  17: i32 endpoints_read_ms_ago
  18: list<Verdict> verdicts
  19: list<EndpointHealth> doubtful
}

// Changed loads of some endpoints, sent between two heartbeats.
struct LoadChange {
  1: string node
  2: i64 incarnation
  // Numbered in one sequence with the heartbeats.
  3: i64 sequence
  // The whole load of each endpoint listed, all zeros if no request is left.
  4: list<EndpointLoad> loads
}

// A row of a table of the store.
struct Row {
  1: string key
  // Not set if the row was deleted.
  2: binary value
  3: i64 version
}

// A table at a version: all its rows if `whole` is set, otherwise the rows that
// changed since the version in the request.
struct Table {
  1: string name
  2: i64 version
  3: list<Row> rows
  // Milliseconds since the store confirmed that the table is current.
  4: i32 confirmed_ms_ago
  5: bool whole
}

// Requests tables at the given versions, by table name, or at newer ones.
struct CopyRequest {
  1: map<string, i64> known_versions
}

struct CopyResponse {
  1: list<Table> tables
}
