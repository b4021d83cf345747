// Messages between gateway processes.
// Regenerate with `make thrift` after a change; the result is committed.
namespace py dandelionlead.cluster.gen

// Requests that one process has at an endpoint.
struct EndpointLoad {
  1: string endpoint_id
  2: i32 runs
  3: i32 tokens
  4: i32 prefill_tokens
  // Generations that are lost if the endpoint ends now.
  5: i32 unsaved_runs
}

// An endpoint that ended while it ran a request with this fingerprint.
struct CrashMark {
  1: string fingerprint
  2: string endpoint_id
}

// What one process saw of an endpoint that fails; older answers count less.
struct EndpointHealth {
  1: string endpoint_id
  2: double answers
  3: double failures
}

// Calls of one process to the new or the old version of a service.
struct VersionCount {
  1: string service_name
  // Version of the store at which the rollout was ordered.
  2: i64 order_version
  3: bool is_new
  4: i32 sent
  5: i32 answers
  6: i32 failures
  7: double total_s
}

// The end of a rollout, as it is written in the store.
struct Verdict {
  1: string service_name
  2: i64 order_version
  // "completed" or "rolled_back"
  3: string state
}

// The whole state that a process tells its peers; a later one replaces an
// earlier one.
struct Heartbeat {
  1: string node
  // Rises with each start of the process.
  2: i64 incarnation
  3: i64 sequence
  4: string host
  5: string availability_zone
  // Address for callers, IP:PORT.
  6: string front
  7: bool ready
  8: bool stopping
  // Version of the last change of the orders, and of the last change of the
  // endpoints that matters to a choice.
  9: i64 orders_version
  10: i64 endpoints_version
  // Milliseconds since the store confirmed the orders; negative: never.
  11: i32 confirmed_ms_ago
  12: list<EndpointLoad> loads
  // Endpoints that began to leave.
  13: list<string> leaving
  14: list<CrashMark> crashes
  15: list<VersionCount> versions
  // Addresses of other processes that are known.
  16: list<string> known_hosts
  // Milliseconds since the endpoints were read from the store; negative: never.
  17: i32 endpoints_read_ms_ago
  18: list<Verdict> verdicts
  19: list<EndpointHealth> doubtful
}

// Loads of some endpoints, told between two heartbeats.
struct LoadChange {
  1: string node
  2: i64 incarnation
  // Counts on with the heartbeats.
  3: i64 sequence
  // The whole load of each endpoint named; zero if there is none left.
  4: list<EndpointLoad> loads
}

struct Row {
  1: string key
  // Missing if the row was deleted.
  2: binary value
  3: i64 version
}

// A table up to a version: all its rows, or, without `whole`, those that have
// changed since the version that the asker knows.
struct Table {
  1: string name
  2: i64 version
  3: list<Row> rows
  4: i32 confirmed_ms_ago
  5: bool whole
}

// Asks for tables that are newer than the versions given.
struct CopyRequest {
  1: map<string, i64> known_versions
}

struct CopyResponse {
  1: list<Table> tables
}
