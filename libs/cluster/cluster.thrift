// Messages between gateway processes.
// After a change run `make thrift` and commit the generated code.
namespace py dandelionlead.cluster.gen

// Load on an endpoint that the calls of one process cause.
struct EndpointLoad {
  1: string endpoint_id
  // Calls of the process that are in progress at the endpoint.
  2: i32 runs
  // Tokens of the endpoint's KV cache that these calls will take by the time
  // they end. Includes the process's memory copies and backups at this endpoint
  // of runs on other endpoints, at the size they will have when those runs end.
  3: i32 tokens
  // Prompt tokens that the endpoint has yet to read.
  4: i32 prefill_tokens
  // Runs that are lost if the endpoint stops now: they have no backup and
  // cannot be restarted on another endpoint.
  5: i32 unsaved_runs
}

// What one process knows about the request rate that an endpoint takes from all
// processes together.
struct EndpointLimit {
  1: string endpoint_id
  // Requests per second; negative if the endpoint names no limit any more.
  2: double requests_per_s
  // Milliseconds since the endpoint last stated this.
  3: i32 named_ms_ago
  // Requests that the process has sent since it knows of the limit.
  4: i64 sent_count
  // Those within the last window of the limit.
  5: i32 recent_count
}

// One start of an endpoint that is about to shut down.
struct LeavingEndpoint {
  1: string endpoint_id
  // The endpoint and its start.
  2: string incarnation
}

// A crash of an endpoint while it ran a request with this fingerprint.
struct CrashMark {
  1: string fingerprint
  2: string endpoint_id
}

// A crash of an engine before the first event of a generation whose prompt has
// these parts.
struct PromptCrash {
  1: list<string> part_ids
  // The engine and its start.
  2: string incarnation
  3: i32 ms_ago
}

// A part of a prompt with which a generation has produced an event.
struct SoundPart {
  1: string part_id
  // Milliseconds since the latest first event of such a generation.
  2: i32 ms_ago
}

// Outcomes of the calls of one process to an endpoint. The weight of each
// outcome decreases with its age.
struct EndpointHealth {
  1: string endpoint_id
  // Sum of the weights of all outcomes, failures included.
  2: double answers
  // Sum of the weights of the failures.
  3: double failures
}

// Durations of the calls of one route that ended with success: their number, the
// sum of the natural logarithms in seconds, and the sum of the squares of these.
struct RouteDurations {
  1: string route
  2: i32 timed
  3: double log_total
  4: double log_square_total
}

// Counts of the calls of one process to the new or the old version of a service
// during a rollout.
struct VersionCount {
  1: string service_name
  // Version of the store at which the rollout was ordered; it identifies the
  // rollout.
  2: i64 order_version
  3: bool is_new
  4: i32 sent
  // Calls that have ended, failures included.
  5: i32 answers
  6: i32 failures
  // Sum of the durations of the ended calls in seconds.
  7: double total_s
  // Calls that ended with success, the sum of the natural logarithms of their
  // durations in seconds, and the sum of the squares of these logarithms.
  8: i32 timed
  9: double log_total
  10: double log_square_total
  // The same for each of the most used routes; empty once the rollout has ended.
  11: list<RouteDurations> routes
}

// The final state of a rollout, as it is written to the store.
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
  // Increases with each heartbeat and load change of the process.
  3: i64 sequence
  // Host at which the process receives messages from peers.
  4: string host
  5: string availability_zone
  // Address (IP:PORT) at which the process accepts calls.
  6: string front
  7: bool ready
  8: bool stopping
  // Version of the last change of the orders table.
  9: i64 orders_version
  // Version of the last change of the endpoints table that affects the choice
  // of an endpoint.
  10: i64 endpoints_version
  // Milliseconds since the store confirmed that the orders table is current;
  // negative if it was never confirmed.
  11: i32 confirmed_ms_ago
  12: list<EndpointLoad> loads
  // Ids of endpoints that are about to shut down, for processes of older builds.
  13: list<string> leaving
  14: list<CrashMark> crashes
  15: list<VersionCount> versions
  // Hosts of some other processes, by which peers discover each other.
  16: list<string> known_hosts
  // Milliseconds since this process itself read the endpoints table from the
  // store; negative if it has not read it yet.
  17: i32 endpoints_read_ms_ago
  18: list<Verdict> verdicts
  // Outcomes at the endpoints where so many calls failed recently that peers
  // take these outcomes into account, too.
  19: list<EndpointHealth> doubtful
  20: list<PromptCrash> prompt_crashes
  // Those sound parts that were suspected because of a crash.
  21: list<SoundPart> sound_parts
  22: list<EndpointLimit> limits
  // The endpoints of `leaving`, each with its start.
  23: list<LeavingEndpoint> leaving_endpoints
}

// Loads of those endpoints whose load changed since the last message.
struct LoadChange {
  1: string node
  2: i64 incarnation
  // In the same sequence as the numbers of the heartbeats.
  3: i64 sequence
  // The whole load at each of these endpoints; all zeros if no run is left.
  4: list<EndpointLoad> loads
  // Limits of those of these endpoints that have one.
  5: list<EndpointLimit> limits
}

// A row of a table of the store.
struct Row {
  1: string key
  // Not set if the row was deleted.
  2: binary value
  3: i64 version
  // Whether the value is compressed by zlib.
  4: bool is_compressed
}

// A table at a version: all rows of the table if `whole` is set, otherwise the
// rows that changed since the version in the request.
struct Table {
  1: string name
  2: i64 version
  3: list<Row> rows
  // Milliseconds since the store confirmed that the table is current.
  4: i32 confirmed_ms_ago
  5: bool whole
}

// Requests copies of tables.
struct CopyRequest {
  // The version of each requested table that the sender holds, by table name.
  1: map<string, i64> known_versions
  // Whether the sender can read compressed values.
  2: bool accepts_compression
}

// The requested tables. A table is left out if the receiver of the request does
// not hold it, or holds an older version of it than the sender.
struct CopyResponse {
  1: list<Table> tables
  // Set if the tables were left out because the process is sending as many
  // large copies as it may; another peer may have them.
  2: bool is_busy
}
