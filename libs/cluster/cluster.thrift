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
  // Measurements of the process of how fast the endpoint reads prompts: their
  // number, and the last one in microseconds for each token.
  6: i32 read_count
  7: i32 read_us_per_token
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

// The limit of an endpoint as one process knows it, with the update of its load
// that it belongs to.
struct LimitUpdate {
  1: i32 process
  2: i32 number
  3: EndpointLimit limit
}

// Updates of loads, one entry of each list an update. The entry of `processes`
// is the id of the process that causes the load, that of `numbers` counts the
// updates of that process. A later update of the same process and endpoint
// replaces an earlier one.
struct LoadUpdates {
  1: list<i32> processes
  2: list<i32> numbers
  3: list<string> endpoint_ids
  // The fields of `EndpointLoad`.
  4: list<i32> runs
  5: list<i32> tokens
  6: list<i32> prefill_tokens
  7: list<i32> unsaved_runs
  8: list<i32> read_counts
  9: list<i32> read_us_per_token
}

// All loads that one process causes, as of one of its updates.
struct LoadSnapshot {
  1: i32 process
  2: i32 number
  3: list<EndpointLoad> loads
  4: list<EndpointLimit> limits
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

// Whether a process reaches the endpoints of a service. A process states this
// only while it, or a peer, does not reach them.
struct ServiceReach {
  1: string service_name
  // Milliseconds since the process last opened a connection; -1 if it never did.
  2: i32 reached_ms_ago
  // Whether connections to many endpoints have failed, and none was opened since.
  3: bool is_unreached
  // Whether a peer reaches the service meanwhile.
  4: bool is_cut_off
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
  // Durations of the calls that ended with success, for each of the most used
  // routes.
  8: list<RouteDurations> routes
}

// The final state of a rollout, as it is written to the store.
struct Verdict {
  1: string service_name
  2: i64 order_version
  // "completed" or "rolled_back"
  3: string state
}

// What a process says of itself; a later version replaces an earlier one.
struct MemberState {
  1: string node
  // Increases with each start of the process.
  2: i64 incarnation
  3: i32 version
  // Host at which the process receives messages from peers.
  4: string host
  5: string availability_zone
  // Address (IP:PORT) at which the process accepts calls.
  6: string front
  7: bool ready
  8: bool stopping
  // Whether the process can read the store.
  9: bool reads_store
  // Outcomes at the endpoints where so many calls failed recently that peers
  // take these outcomes into account, too.
  10: list<EndpointHealth> doubtful
  11: list<VersionCount> versions
  // Not set if the process states nothing, and by processes of earlier versions.
  12: list<ServiceReach> reach
}

// How long ago processes were alive, one entry of each list a process.
struct Beats {
  1: list<i32> processes
  // In units of 0.05 s.
  2: list<i32> ages
}

// What the sender holds of processes, one entry of each list a process, so that
// the receiver can request what it lacks.
struct Digests {
  1: list<i32> processes
  2: list<i32> state_versions
  3: list<i32> load_numbers
}

// What any process has found out, and all should know.
struct News {
  1: list<LeavingEndpoint> leaving
  2: list<CrashMark> crashes
  3: list<PromptCrash> prompt_crashes
  // Those sound parts that were suspected because of a crash.
  4: list<SoundPart> sound_parts
  5: list<Verdict> verdicts
}

// A datagram between processes. What a process sends is partly its own and
// partly passed on from others. Lists that would be empty are left out.
struct Gossip {
  // Id of the sender, a hash of its name and incarnation.
  1: i32 process
  // Version of the sender's last change of the orders table.
  2: i64 orders_version
  // Version of the last change of the endpoints table that affects the choice
  // of an endpoint.
  3: i64 endpoints_version
  // Milliseconds since the store confirmed to any process that these tables are
  // current; negative if the sender knows of no confirmation.
  4: i32 orders_confirmed_ms_ago
  5: i32 endpoints_confirmed_ms_ago
  // Whether the sender sends this to all processes, so that it need not be
  // passed on.
  6: bool reaches_all
  7: LoadUpdates loads
  8: list<LimitUpdate> limits
  9: News news
  10: list<MemberState> states
  11: list<LoadSnapshot> snapshots
  12: Beats beats
  13: Digests digests
  // Ids of processes whose state, or whose loads, the sender requests.
  14: list<i32> wanted_states
  15: list<i32> wanted_loads
  // Whether the sender requests the states of all processes.
  16: bool wants_all_states
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
