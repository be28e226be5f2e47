/*
 * Messages between trefoilroute processes.
 *
 * Fields ending in _ms are milliseconds, those ending in _us microseconds.
 * Shares are permille (0 to 1000). A frame is a four-byte length, one byte
 * for the type (see frames.py) and the struct in Thrift's compact protocol.
 */
namespace py trefoil_wire.gen

/* ---- configuration ---- */

enum Repeat { ANY = 1, ONCE = 2 }

/* An empty version stands for all versions that no other share names. */
struct Service {
  1: string name,
  2: list<string> resources,
  3: string version,
  4: double retry_budget = 0.2,
  5: string health_path = "",
  6: i32 max_connections = 0,
  // How long a target is cold after its start, and the requests per second
  // that it may get during that time; 0 for no limit.
  7: i32 warmup_ms = 0,
  8: double warmup_per_s = 0,
}

/* A service that gets a part of a route's requests, in proportion to weight. */
struct Backend { 1: string service_name, 2: double weight }

/* Without backends, all requests go to service_name. */
struct Route {
  1: string name,
  2: string host,
  3: string prefix,
  4: list<string> methods,
  5: string service_name,
  6: string resource,
  7: string tenant,
  8: i32 timeout_ms,
  9: Repeat repeat,
  10: list<Backend> backends,
  11: i32 priority = 0,
  12: i32 max_attempts = 3,
  13: i32 latency_aim_ms = 0,
  // Whether callers need no key, although the configuration has accounts.
  14: bool open = false,
}

/* A client account. Its keys are stored as digests only. A missing priority
   leaves that of the route; a rate of 0 is no limit. */
struct Account {
  1: string name,
  2: list<binary> key_digests,
  3: i32 priority,
  4: double rate_per_s = 0,
  5: double burst = 0,
}
/* Whether callers need the key of an account. Without this item they need
   none; a configuration whose last account was removed still has it. */
struct AccessPolicy { 1: bool keys_required }

/* Limits for requests of callers; 0 keeps the default of the process. */
struct CallerLimits {
  1: i32 max_head_bytes = 0,
  2: i64 max_body_bytes = 0,
  3: i32 head_timeout_ms = 0,
  4: i32 idle_timeout_ms = 0,
}

struct VersionShare { 1: string version, 2: i32 permille }

struct Shares {
  1: string service_name,
  2: list<VersionShare> shares,
  3: string move_id,
}

struct Drain { 1: string host }
/* While a failure domain has one, its targets get no requests. */
struct Evacuation {
  1: string domain, 2: string operator_name, 3: i64 since_ms,
  4: string reason = "",
}

struct Item {
  1: string key,
  2: binary value,
  3: i64 revision,
  4: bool deleted = false,
}

struct ConfigDelta {
  1: i64 base,
  2: i64 revision,
  3: list<Item> items,
  4: i64 digest,
  5: i64 accepted_ms = 0,
}

struct ConfigPull { 1: i64 have, 2: bool whole = false }

/* ---- agreement between control processes ---- */

struct Entry { 1: i64 index, 2: i64 term, 3: binary command }

struct VoteRequest {
  1: i64 term, 2: string candidate, 3: i64 last_index, 4: i64 last_term,
  5: bool pre_vote,
}
struct VoteReply {
  1: i64 term, 2: string voter, 3: bool granted, 4: bool pre_vote,
}
struct AppendRequest {
  1: i64 term, 2: string leader, 3: i64 prev_index, 4: i64 prev_term,
  5: list<Entry> entries, 6: i64 commit, 7: i64 round,
}
struct AppendReply {
  1: i64 term, 2: string follower, 3: bool success, 4: i64 match_index,
  5: i64 round,
}
struct Snapshot {
  1: i64 last_index, 2: i64 last_term, 3: list<string> voters,
  4: list<string> learners, 5: binary state,
}
struct SnapshotRequest { 1: i64 term, 2: string leader, 3: Snapshot snapshot }
struct HardState { 1: i64 term, 2: string voted_for, 3: string identity }
struct ChangeVoters { 1: list<string> voters, 2: list<string> learners }
struct JoinRequest { 1: string identity, 2: string name, 3: string address }
struct AdoptVersion { 1: string service_name, 2: string version }

/* ---- commands of operators, agreed through the log ---- */

/* The reason why a command was not run. */
enum Cause { OTHER = 0, CONFLICT = 1, INVALID = 2 }
enum Outcome { DONE = 1, TAKEN_BACK = 2, NOT_RUN = 3, PENDING = 4, EXPIRED = 5 }

/* The document of a configuration, as its writer sent it. The writer chooses
   its number, which must be greater than that of the previous document. */
struct Document { 1: i64 number, 2: i64 base, 3: binary text }
struct ApplyConfiguration {
  1: list<Service> services, 2: list<Route> routes,
  3: i64 expected_revision = 0,
  4: CallerLimits limits,
  5: Document document,
  // Missing if the configuration has no accounts and callers need no keys.
  6: list<Account> accounts,
}
/* An empty from_version is the version in force. If a duration is given, the
   deadline is that long after the move was agreed. */
struct StartMove {
  1: string service_name, 2: string from_version, 3: string to_version,
  4: i64 deadline_ms, 5: i32 risk_permille, 6: i64 watch_ms,
  7: i64 duration_ms = 0,
}
struct StepMove {
  1: string move_id, 2: i32 permille, 3: string phase, 4: string reason,
}
struct EndMove { 1: string move_id, 2: Outcome outcome, 3: string reason }
struct ReverseMove { 1: string service_name }
struct DrainHost { 1: string host, 2: bool draining }
/* Evacuates a failure domain or returns it to service. known_revision: the
   newest revision that the sender knew; the command is not run if the domain
   has changed since. 0 runs it in any case. */
struct EvacuateDomain {
  1: string domain, 2: bool evacuated, 3: i64 known_revision = 0,
  4: string reason = "",
}
struct CancelCommand { 1: string cancelled_id }
struct Noop { 1: i64 term }

/* With content_id the id of a command is derived from its content. The same
   content is then the same command, whichever process sends it and when. */
struct Command {
  1: string command_id,
  2: string operator_name,
  3: i64 issued_ms,
  4: i8 kind,
  5: binary body,
  6: i64 stamped_ms = 0,
  7: bool content_id = false,
}
struct CommandRequest { 1: Command command, 2: i32 hops = 0 }
struct CommandReply {
  1: string command_id, 2: Outcome outcome, 3: string reason,
  4: i64 revision, 5: i32 retry_after_ms = 0, 6: Cause cause = 0,
}
/* A query is a line of the operators' language or, if a program sends it, a
   kind and a subject. */
enum QueryKind { LINE = 0, DOCUMENT = 1, MOVE = 2 }
struct Query {
  1: string query_id, 2: string line, 3: i32 hops = 0,
  4: QueryKind kind = 0, 5: string subject = "",
}
struct QueryReply {
  1: string query_id, 2: bool ok, 3: string body, 4: bool confirmed = false,
}

struct MoveRecord {
  1: string move_id, 2: string service_name, 3: string from_version,
  4: string to_version, 5: i64 deadline_ms, 6: i32 risk_permille,
  7: i64 watch_ms, 8: i64 started_ms, 9: i32 permille, 10: string phase,
  11: Outcome outcome, 12: string reason, 13: i64 step_ms,
  14: list<string> history,
}
struct PastCommand {
  1: string command_id, 2: i64 digest, 3: Outcome outcome, 4: string reason,
  5: i64 revision, 6: i64 stamped_ms, 7: Cause cause = 0,
}
struct AgreedState {
  1: i64 revision, 2: i64 clock_ms, 3: list<Item> items,
  4: list<MoveRecord> moves, 5: list<PastCommand> commands,
  6: Document document,
}

/* ---- fleet: membership, records, distribution ---- */

enum HostState { ALIVE = 1, SUSPECT = 2, LEFT = 3, DEAD = 4 }
enum TargetState { COLD = 1, READY = 2, DRAINING = 3 }

struct TargetRecord {
  1: string name, 2: string service_name, 3: string version,
  4: list<string> resources, 5: i32 slots, 6: TargetState state,
  7: bool tells_warmup = false,
  // Usual run time of a request, measured by the target's own proxy; 0 if
  // unknown.
  8: i32 usual_us = 0,
  // Requests per second that it may get while it is cold; 0 for no limit.
  9: double cold_per_s = 0,
  // When the target started, as it announced, Unix time; missing if unknown.
  10: i64 started_ms,
  // Requests per second that it says it takes from all hosts together;
  // missing for no limit.
  11: double limit_per_s,
}
/* Announcements of a target below this incarnation and sequence are outdated:
   it was acknowledged as leaving, or as gone. */
struct AnnouncementFloor {
  1: string name, 2: i64 incarnation, 3: i64 sequence,
}
struct HostRecord {
  1: string host, 2: string domain, 3: string region, 4: string address,
  5: i64 incarnation, 6: i64 sequence, 7: HostState state,
  8: list<TargetRecord> targets,
  9: list<AnnouncementFloor> announcement_floors,
}
/* What a process on this host published before it restarted. */
struct AnnouncementFloors { 1: list<AnnouncementFloor> floors }
/* reads_compact: the sender reads compact frames. switches: all frames after
   this one are compact, in this direction. */
struct Hello {
  1: string host, 2: string domain, 3: string address, 4: i64 incarnation,
  5: bool control, 6: i64 revision, 7: bool subscribe = false,
  8: bool reads_compact = false, 9: bool switches = false,
  10: bool takes_deadline_updates = false,
}
struct HelloReply {
  1: Hello hello, 2: bool accepted, 3: i32 retry_after_ms,
}
/* The agreed control hosts. Of two lists, that with the greater number is
   newer. */
struct ControlHost { 1: string name, 2: string address, 3: string domain }
struct ControlHosts { 1: i64 number, 2: list<ControlHost> hosts }
struct Report {
  1: string host, 2: i64 incarnation, 3: i64 revision, 4: string rejected,
  5: i32 age_ms,
}
/* led: whether the sending control host is in contact with the leader. */
struct Heartbeat {
  1: i64 revision, 2: i64 config_digest, 3: i64 records_digest,
  4: bool led = true,
}
struct Reports { 1: list<Report> reports }
struct RecordsDelta { 1: list<HostRecord> records }
struct RecordVersion {
  1: string host, 2: i64 incarnation, 3: i64 sequence, 4: HostState state,
}
struct RecordsSummary {
  1: list<RecordVersion> versions, 2: bool reply_wanted, 3: bool whole,
}
struct FloorQuery { 1: i64 nonce, 2: string host }
/* voters: the control hosts that vote, where one of them gives its own word. */
struct FloorReply {
  1: i64 nonce, 2: i64 revision, 3: bool certain, 4: string host,
  5: list<string> voters,
}
/* Asks a control host for the newest revision that was agreed when it got
   this. Its answer to a proxy renews what the proxy may do by keys. */
struct RevisionQuery { 1: i64 nonce }
struct RevisionReply { 1: i64 nonce, 2: i64 revision }
/* Tokens of client accounts: one lets one request of the account through.
   An entry proxy asks a control host for them, and that host others (lend).
   wanted: tokens that would be used soon; waiting: requests that wait for them
   now; arrived, denied: requests that came, and that were refused, since the
   last ask. */
struct TokenWish {
  1: string account, 2: i32 wanted, 3: i32 waiting, 4: i32 arrived = 0,
  5: i32 denied = 0,
}
struct TokenAsk {
  1: i64 ask_id, 2: list<TokenWish> wishes, 3: bool lend = false,
}
/* granted: tokens that may be used until a fixed time after the ask was sent;
   whole ones, except where a control host lends them. wait_ms: when the next
   token is expected; 0 if all were granted. */
struct TokenGrant { 1: string account, 2: double granted, 3: i32 wait_ms }
struct TokenReply { 1: i64 ask_id, 2: list<TokenGrant> grants }
struct HeldNotice { 1: string host, 2: i64 revision }
struct HeldAck { 1: string host, 2: i64 revision }

/* ---- evidence about versions ---- */

struct Tally {
  1: string route, 2: string version, 3: string domain,
  4: i32 requests, 5: i32 failures, 6: map<i16, i32> latencies,
}
struct EvidenceReport {
  1: string move_id, 2: string host, 3: i64 incarnation, 4: i64 sequence,
  5: list<Tally> tallies, 6: bool halted = false,
}

/* ---- load of failure domains ---- */

/* load: requests that run or wait at a service's targets, a mean over the
   last moments; slots: the slots of these targets. */
struct ServiceLoad { 1: string service_name, 2: double load, 3: i32 slots }
/* The load of the targets on one host, told to a control host. */
struct LoadReport { 1: string domain, 2: list<ServiceLoad> services }
/* What the hosts that report to one control host add up to. */
struct DomainLoad {
  1: string control, 2: string domain, 3: list<ServiceLoad> services,
}
struct DomainLoads { 1: list<DomainLoad> domains }

/* ---- compact frames ---- */

/* Either length bytes of the base from an offset on, or a literal. */
struct PatchPiece { 1: i32 offset, 2: i32 length, 3: binary literal }
/* What turns the previous message of a type into this one; digest is that of
   the result. */
struct Patch { 1: list<PatchPiece> pieces, 2: i64 digest }

/* ---- requests ---- */

/* aim_ms: time left to meet the route's latency target. settled: the target
   may queue the request, although another target may have a free slot.
   body_bytes: length of a body that the sender keeps until a BodyPull requests
   it. */
struct Request {
  1: i64 request_id, 2: string route, 3: string method, 4: string path,
  5: binary headers, 6: binary body, 7: i32 deadline_ms, 8: string target,
  9: i32 crashes = 0, 10: i64 fingerprint, 11: string version,
  12: bool retried = false, 13: i32 priority = 0, 14: string caller_id = "",
  15: i32 aim_ms = 0, 16: bool settled = false, 17: i32 body_bytes = 0,
  // Services of the targets on the entry proxy's host, sorted, joined by
  // commas.
  18: string services_key = "",
  // Probability that a target has received the request before, or that the
  // run that sent it was itself a repeat.
  19: i32 repeat_permille = 0,
  // Rate limit that the target named in the answers to this entry proxy;
  // missing if none. A target's proxy that restarted learns it from here.
  20: double limit_per_s,
  // Name of the caller's account, empty for none, and the priority of the
  // route where that of the account goes before it.
  21: string account = "", 22: i32 route_priority = 0,
}
/* A request that its entry proxy sent again has reached its target. */
struct RepeatArrived { 1: i64 request_id }
struct BodyPull { 1: i64 request_id, 2: i32 offset, 3: i32 length }
struct BodyPiece { 1: i64 request_id, 2: i32 offset, 3: binary data }
/* full: refused only because no slot was free at once.
   load: requests that run or wait at the target, -1 if not reported.
   ran: the request may have run. shed: the target itself refused it.
   unusable: the target's response cannot be passed to a caller. */
struct Answer {
  1: i64 request_id, 2: i32 status, 3: string reason, 4: binary headers,
  5: binary body, 6: bool ran, 7: i32 retry_after_ms = 0,
  8: i32 service_us = 0, 9: bool crashed = false, 10: bool sole = false,
  11: bool shed = false, 12: bool unusable = false, 13: i32 load = -1,
  14: bool full = false,
  // Current usual run time of a request at that target; 0 if unknown.
  15: i32 usual_us = 0,
  // How long a large body waits on the host's link for those ahead of it.
  16: i32 body_wait_ms = 0,
  // Estimated share of this route's requests, from proxies on hosts with the
  // same services, that the targets of those services send. Negative where
  // other hosts send more requests; -10000 if not reported.
  17: i32 called_permille = -10000,
  // How long the target's proxy had the request; the rest of the time that
  // the entry proxy measures was spent on the links between them.
  18: i32 held_ms = 0,
  // Rate limit that the target names, missing if none, and how long a further
  // request from the same entry proxy would wait for it.
  19: double limit_per_s, 20: i32 limit_wait_ms,
  // Whether the target has stated that it is leaving.
  21: bool leaving,
}
struct Cancel { 1: i64 request_id }
/* An entry proxy is leaving: it can use an answer for deadline_ms more. A
   request that waits is refused as not run if it can't be answered by then; one
   that runs goes on. */
struct DeadlineUpdate { 1: i64 request_id, 2: i32 deadline_ms }
struct Ping { 1: i64 nonce }
struct Pong { 1: i64 nonce }
/* ran_ms: how long each of the requests had run when the target crashed. */
struct CrashNotice {
  1: i64 notice_id, 2: list<i64> fingerprints, 3: i64 age_ms, 4: bool cleared,
  5: list<i32> ran_ms,
}
struct Claim {
  1: i64 claim_id, 2: i64 key, 3: i64 fingerprint, 4: list<string> keepers,
  5: string service_name, 6: i64 issued_ms,
}
struct ClaimReply {
  1: i64 claim_id, 2: i8 verdict, 3: Answer answer, 4: string host,
}
struct ClaimDone { 1: i64 key, 2: i64 claim_id, 3: Answer answer }
struct ClaimRelease { 1: i64 key, 2: i64 claim_id }
struct LedgerEntry {
  1: i64 key, 2: i64 claim_id, 3: i64 fingerprint, 4: i64 age_ms,
  5: Answer answer,
}
/* service_name and members: set by a host that joined the service; the hosts
   that may be replicas of its keys, as that host sees them. */
struct LedgerPull {
  1: string host, 2: i64 incarnation, 3: string service_name,
  4: list<string> members,
}
/* complete: the sender has not forgotten any grant. knows_members: the sender
   sees all members of the pull too, so it no longer grants claims under an
   older view; missing from older releases. */
struct LedgerPush {
  1: string host, 2: list<LedgerEntry> entries, 3: bool complete,
  4: string service_name, 5: bool knows_members,
}
