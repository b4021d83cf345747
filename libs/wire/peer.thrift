// Messages between dandelionlead processes.
// Regenerate with `make thrift` after a change; the result is committed.
namespace py dandelionlead.wire.gen

// What one member knows about another. Higher incarnation wins; for the same
// incarnation the state with the higher number wins.
struct MemberState {
  1: string name
  2: string availability_zone
  3: string http_address
  4: string control_address
  5: i64 incarnation
  6: i32 state  // 0 live, 1 suspect, 2 leaving, 3 dead
  7: string role  // "entry" or "steward"
}

// A configuration head: parts maps part name to SHA-256 hex digest.
struct ConfigHead {
  1: i64 version
  2: string apply_id
  3: map<string, string> parts
}

struct Freshness {
  1: i64 head_version
  // Seconds since the head was confirmed against the table service, by this
  // process or by one whose confirmation it relays. Negative: never.
  2: double confirmed_s_ago
  // Seconds since this process last tried to read the table service and
  // failed. Negative: its last read succeeded or it has not read yet.
  3: double platform_failed_s_ago
  // Packed answers of other entries that agree with the head in force.
  4: binary vouchers
}

// Counters of one entry for a version on a route; merged by maximum.
struct VersionEvidence {
  1: string model
  2: string version
  3: string route
  4: string member
  5: i64 member_incarnation
  6: i64 requests
  7: i64 failures
  8: list<i64> first_token_buckets
  9: list<i64> token_gap_buckets
}

struct VersionVerdict {
  1: string model
  2: string version
  3: string rollout_id
  4: string reason
}

struct Suspect {
  1: string fingerprint
  // Incarnations of endpoints that ended while they ran this request.
  2: set<string> crashed
  3: bool cleared
  4: double expires_in_s
}

struct Gossip {
  1: string sender
  2: list<MemberState> members
  3: ConfigHead head
  4: Freshness freshness
  5: list<VersionEvidence> evidence
  6: list<VersionVerdict> verdicts
  7: list<Suspect> suspects
  // Entries that the sender counts, by incarnation; left out when the receiver
  // last sent the same digest.
  9: string counts_digest
  10: optional map<string, i64> counts
}

// Asks the owner of an endpoint for units of engine memory (tokens).
struct AcquireRequest {
  1: string member
  2: string endpoint
  3: string incarnation
  4: i64 units
  5: i32 priority
  6: i64 least_units  // of the smallest request that waits
  7: double part  // this member's part of the limit, 0 to 1
  8: double delegate_for_s
  9: string stamp  // last stamp of the owner; empty if there is none
}

struct Grant {
  1: string grant_id
  2: string endpoint
  3: string incarnation
  4: i64 units
  5: double valid_for_s
  6: string stamp
}

struct EndpointStatus {
  1: string endpoint
  2: string incarnation
  3: i64 limit_units
  4: i64 free_units
  5: bool accepts_work
  6: string reason
  7: string stamp
}

struct AcquireReply {
  1: optional Grant grant
  2: string refused_reason  // empty when granted
  3: EndpointStatus status
}

struct EndpointReport {
  1: string endpoint
  2: string incarnation
  3: i64 units_in_use
  4: i64 units_open
  5: list<string> generations
  6: list<double> first_token_s  // of requests since the last report
  7: bool failed  // a connection was refused or reset since then
  8: double part
  9: double delegate_for_s
  10: string stamp  // last stamp of the owner, for the delegation
  11: string covered_stamp  // the numbers cover all grants up to this stamp
}

struct ReportRequest {
  1: string member
  2: list<EndpointReport> endpoints
}

struct ReportReply {
  1: list<EndpointStatus> endpoints
}

struct NotifyReply {
  1: i64 version_in_force
  2: string reason  // why a newer head is not in force; empty otherwise
}

struct TraceEvent {
  1: string process
  2: double at_unix_s
  3: string line
}

service Peer {
  Gossip exchange(1: Gossip gossip)
  AcquireReply acquire(1: AcquireRequest request)
  ReportReply report(1: ReportRequest request)
  // Digests that this process does not have are left out.
  map<string, binary> get_parts(1: list<string> digests)
  NotifyReply notify(1: ConfigHead head)
  string dump()  // JSON, secrets hidden
  list<TraceEvent> trace(1: string request_id)
}
