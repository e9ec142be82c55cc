"""Records generated from schema.json; run scripts/generate.sh after a change."""

from __future__ import annotations

from typing import Any, Literal, TypeAlias
from dataclasses import dataclass, field


Records: TypeAlias = Any
"""
Settings, tables and messages of foxtaildrum.
"""


@dataclass(kw_only=True, slots=True)
class Share:
    """
    Share of a route's requests that a pool receives.
    """

    pool: str
    """
    Name of the pool.
    """
    weight: float
    """
    Weight relative to the other pools of the route.
    """


@dataclass(kw_only=True, slots=True)
class Limits:
    """
    Limits on the requests and connections of callers.
    """

    max_header_bytes: int = 32768
    """
    Maximum size of a request's header section, in bytes.
    """
    max_body_bytes: int = 1073741824
    """
    Maximum size of a request's body, in bytes.
    """
    header_timeout_ms: float = 60000
    """
    Timeout for receiving the header section of a request, in milliseconds.
    """
    idle_timeout_ms: float = 120000
    """
    Idle timeout of a connection, in milliseconds.
    """


@dataclass(kw_only=True, slots=True)
class Pool:
    """
    One row of the pools table.
    """

    name: str
    """
    Unique name of the pool.
    """
    policy: str = "aged_load"
    """
    Registered name of the balancing policy.
    """
    slots_per_upstream: int = 6
    """
    Number of slots of an upstream that does not announce its own.
    """
    measuring_budget_ratio: float = 0.01
    """
    Fraction of the pool's upstream time that probes and hedges may use.
    """
    retry_budget_ratio: float | None = None
    """
    Retries allowed per request; null uses the setting of the instance.
    """
    load_path: str = ""
    """
    Path of the upstreams' load endpoint; empty when there is none.
    """
    health_path: str = ""
    """
    Path of the upstreams' status check; empty when there is none.
    """
    max_conns: int = 0
    """
    Number of connections that an upstream accepts from all its clients together; 0 when unknown.
    """
    protocol: Literal["h1"] = "h1"
    """
    Protocol of the upstreams.
    """
    tls: Literal[False] = False
    """
    Whether the upstreams speak TLS.
    """
    warmup_s: float = 0
    """
    Time that an upstream is cold after its start, in seconds.
    """
    warmup_per_s: float = 0
    """
    Requests per second that a cold upstream takes from all instances together; 0 sets no limit.
    """


Key: TypeAlias = str


@dataclass(kw_only=True, slots=True)
class Organisation:
    """
    One row of the organisations table.
    """

    name: str
    """
    Unique name of the organisation.
    """
    keys: list[Key] = field(default_factory=list)
    """
    Keys that identify its callers; no two organisations share one.
    """
    priority: int | None = None
    """
    Priority of its requests, before that of the route; 0 is the most urgent; null leaves it to the route.
    """
    rate_per_s: float = 0
    """
    Requests per second that all instances together serve; 0 sets no limit.
    """
    burst: float = 0
    """
    Requests beyond the rate that may be served at once.
    """


@dataclass(kw_only=True, slots=True)
class Announcement:
    """
    State that an upstream announces about itself.
    """

    pool: str
    """
    Pool that the upstream joins.
    """
    address: str
    """
    IP address and port; neither unspecified nor multicast.
    """
    availability_zone: str = ""
    """
    Availability zone of the upstream.
    """
    slots: int = 0
    """
    Number of requests that the upstream serves concurrently; 0 uses the pool's value.
    """
    state: Literal["ready", "draining"] = "ready"
    """
    Whether the upstream accepts new requests.
    """
    incarnation: int = 0
    """
    Number that increases with each start of the upstream.
    """
    sequence: int = 0
    """
    Number that increases with each announcement of one incarnation; 0 when not given.
    """
    born: int = 0
    """
    Unix time of the upstream's start, in milliseconds; used as the incarnation when none is given.
    """
    warmup_left_ms: float | None = None
    """
    Remaining time for which the upstream is cold, in milliseconds; if it is missing, a new start is cold for warmup_s of its pool.
    """
    version: str = ""
    """
    Version of the upstream's software.
    """
    lease_s: float = 15
    """
    Lease of the announcement, in seconds; it expires unless renewed.
    """


@dataclass(kw_only=True, slots=True)
class Settings:
    """
    Settings of one instance.
    """

    role: Literal["all", "entry", "control"] = "all"
    """
    Role of the instance: entry (serves callers), control (member of the control group) or all (both).
    """
    instance_id: str = "instance-1"
    """
    Unique name of the instance.
    """
    availability_zone: str = "local"
    """
    Availability zone of the instance.
    """
    listen: str = "127.0.0.1:8080"
    """
    Address on which callers are served.
    """
    admin_listen: str = "127.0.0.1:8081"
    """
    Address of the admin interface, for operators and upstreams.
    """
    peer_listen: str = ""
    """
    Address for other instances; empty for a single instance.
    """
    forward_listen: str = ""
    """
    Address for requests that other instances forward because they cannot reach the upstreams; empty takes and forwards none.
    """
    seeds: str = ""
    """
    Instances to join, as ID=HOST:PORT,...; they report the control group.
    """
    bootstrap: bool = False
    """
    Whether the seeds form a new control group; applies only to the very first start.
    """
    tolerated_losses: int = 0
    """
    Number of control instances that may lose their disks at once; a change is accepted once it is synced on one more disk than that.
    """
    announcement_lease_s: float = 15
    """
    Lease of an announcement that names none, in seconds.
    """
    sample_size: int = 0
    """
    Number of upstreams whose load is requested before a request is sent; 0 disables this.
    """
    probes_per_s: float = 0
    """
    Maximum status checks per second that one upstream receives from all entry instances together.
    """
    retry_budget_ratio: float = 0.1
    """
    Retries allowed per request in pools that do not set their own ratio.
    """
    retry_slack: float = 0
    """
    Burst of retries and hedges per pool that all entry instances together may make in addition to the ratio; 0 allows 10 per instance.
    """
    control: str = ""
    """
    Control instances, as ID=HOST:PORT,...; empty for a single instance.
    """
    data_dir: str = "foxtaildrum-data"
    """
    Directory of the durable state.
    """
    log_lines_per_s: int = 200
    """
    Maximum log lines per second of one event; half of them are reserved for failures; 0 sets no limit.
    """
    dialect: str = "foxtaildrum"
    """
    Name of the registered dialect: the headers and statuses used with callers and upstreams.
    """
    metrics_listen: str = ""
    """
    Additional address that serves only the metrics; empty opens none.
    """
    statsd: str = ""
    """
    HOST:PORT that receives statsd metrics; empty sends none.
    """
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    """
    Lowest level that is logged.
    """
    log_format: Literal["kv", "json"] = "kv"
    """
    Format of log lines: kv or json.
    """
    access_log: bool = True
    """
    Whether each request is logged.
    """
    shutdown_grace_s: float = 30
    """
    Maximum duration of a graceful shutdown, in seconds.
    """
    unready_s: float = 1
    """
    Delay between reporting unready and closing the listener, in seconds.
    """
    operator_token_file: str = ""
    """
    File with the token that operators must send; empty requires none.
    """
    fleet_key_file: str = ""
    """
    File with the key that signs frames between instances; empty leaves them unsigned.
    """
    threads: int = 256
    """
    Number of requests that the instance handles concurrently; with several pools, one pool uses at most half of them.
    """
    max_connections: int = 1000
    """
    Maximum number of open caller connections.
    """
    max_header_bytes: int = 32768
    """
    Maximum size of a request's header section, in bytes.
    """
    max_body_bytes: int = 1073741824
    """
    Maximum size of a request's body, in bytes.
    """
    write_deadline_s: float = 30
    """
    Timeout for a caller that reads no byte of its response, in seconds.
    """
    queue_limit: int = 48
    """
    Maximum number of requests that wait for a slot in one pool.
    """
    warmup_overshoot: float = 1
    """
    Factor on the rate of its pool up to which a cold upstream gets requests; 1 is the rate itself.
    """
    warmup_slack: float = 0
    """
    Requests per second that a cold upstream takes in addition.
    """
    availability_zones: str = ""
    """
    Availability zones of the deployment, as ZONE,...; empty when they are not known.
    """
    evacuation_s: float = 5
    """
    Time in which an evacuation takes effect at every instance, in seconds.
    """
    key_check_s: float = 1.5
    """
    Age of the tables up to which an unknown key is refused for good, in seconds.
    """
    revocation_s: float = 0
    """
    Time after which a key that was removed is refused by every instance, in seconds; 0 gives no guarantee.
    """
    quota_window_s: float = 5
    """
    Period in which the rate limits of organisations are counted, in seconds.
    """
    quota_overshoot: float = 0.1
    """
    Share of its rate limit by which an organisation may exceed it in a period; 0.1 is a tenth more.
    """
    quota_slack: float = 20
    """
    Requests by which an organisation may exceed its rate limit in a period in addition.
    """
    pipeline_per_connection: int = 8
    """
    Maximum number of pipelined requests of one connection that run at once; 1 runs one after the other.
    """
    pipeline_total: int = 64
    """
    Maximum number of pipelined requests of the instance that run ahead of their turn.
    """
    pipeline_buffer_bytes: int = 262144
    """
    Size of the responses of one connection that wait for their turn, in bytes.
    """
    max_held_bytes: int = 0
    """
    Size of what all callers' unfinished requests and unsent responses hold, in bytes; 0 takes a quarter of the memory that the process may use.
    """
    memory_bytes: int = 0
    """
    Size of the memory that the process may use, in bytes; 0 takes the smallest of its limits and the memory of the machine.
    """
    body_stall_s: float = 30
    """
    Timeout for a caller that sends no byte of a request's body, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class ControlProbe:
    """
    Asks a control instance whether its disk has ever been used in a control group.
    """

    disk_id: str
    """
    Identifier of the sender's disk.
    """
    pristine: bool
    """
    Whether the sender's disk was never used in a control group.
    """
    reply: bool
    """
    Whether this is the reply to a probe.
    """


@dataclass(kw_only=True, slots=True)
class VoteRequest:
    """
    Requests a vote, or a pre-vote.
    """

    term: int
    """
    Term of the election.
    """
    last_index: int
    """
    Index of the sender's last entry.
    """
    last_term: int
    """
    Term of the sender's last entry.
    """
    pre: bool
    """
    Whether this is a pre-vote.
    """


@dataclass(kw_only=True, slots=True)
class VoteReply:
    """
    Replies to a vote request.
    """

    term: int
    """
    Term of the sender, or of the election when granted.
    """
    granted: bool
    """
    Whether the vote is granted.
    """
    pre: bool
    """
    Whether this is the reply to a pre-vote.
    """
    disk_id: str
    """
    Identifier of the sender's disk.
    """


@dataclass(kw_only=True, slots=True)
class AppendRequest:
    """
    Replicates log entries; also the leader's heartbeat.
    """

    term: int
    """
    Term of the leader.
    """
    previous_index: int
    """
    Index of the entry before the first.
    """
    previous_term: int
    """
    Term of the entry before the first.
    """
    entries: list[Any]
    """
    Entries as [index, term, kind, payload].
    """
    commit_index: int
    """
    Last committed index.
    """
    sent_at: float
    """
    Leader's clock when it sent this message, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class AppendReply:
    """
    Replies to an append request.
    """

    term: int
    """
    Term of the sender.
    """
    matched: bool
    """
    Whether the sender's log matches at the previous index and term.
    """
    match_index: int
    """
    Last index known to match; when not matched, a hint for the next index to try.
    """
    sent_at: float
    """
    The request's sent_at, copied.
    """
    disk_id: str
    """
    Identifier of the sender's disk.
    """


@dataclass(kw_only=True, slots=True)
class SnapshotPiece:
    """
    One piece of the leader's snapshot.
    """

    term: int
    """
    Term of the leader.
    """
    index: int
    """
    Last log index that the snapshot includes.
    """
    last_term: int
    """
    Term of that index.
    """
    offset: int
    """
    Offset of the piece, in bytes.
    """
    piece: bytes
    """
    Bytes of the piece.
    """
    final: bool
    """
    Whether this is the last piece.
    """
    sent_at: float
    """
    Leader's clock when it sent this message, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class SnapshotReply:
    """
    Acknowledges the part of a snapshot received so far.
    """

    term: int
    """
    Term of the sender.
    """
    index: int
    """
    Last log index that the snapshot includes.
    """
    offset: int
    """
    Number of bytes received so far.
    """
    sent_at: float
    """
    The request's sent_at, copied.
    """
    disk_id: str
    """
    Identifier of the sender's disk.
    """


@dataclass(kw_only=True, slots=True)
class ProposeRequest:
    """
    Forwards a change to the leader.
    """

    token: str
    """
    Identifier of the proposal.
    """
    change: list[Any]
    """
    The change.
    """


@dataclass(kw_only=True, slots=True)
class ProposeReply:
    """
    Replies to a forwarded proposal.
    """

    token: str
    """
    Identifier of the proposal.
    """
    verdict: str
    """
    Result of the proposed change.
    """
    version: int
    """
    Version of the table.
    """
    changed_by: str
    """
    Identifier of the change that produced the version.
    """
    problems: list[Any]
    """
    Problems of an invalid table.
    """
    detail: str
    """
    Message for the operator.
    """


@dataclass(kw_only=True, slots=True)
class Ping:
    """
    Checks whether a member is alive and compares state digests.
    """

    nonce: int
    """
    Number that the reply repeats.
    """
    member: list[Any]
    """
    The sender as a member.
    """
    members_root: int
    """
    Root hash of the sender's members.
    """
    upstreams_root: int
    """
    Root hash of the sender's upstreams.
    """
    crashes_root: int
    """
    Root hash of the sender's crash records.
    """
    applied_index: int
    """
    Log index of the last table change applied by the sender.
    """


@dataclass(kw_only=True, slots=True)
class Ack:
    """
    Replies to a ping.
    """

    nonce: int
    """
    Number copied from the ping.
    """
    members_root: int
    """
    Root hash of the sender's members.
    """
    upstreams_root: int
    """
    Root hash of the sender's upstreams.
    """
    crashes_root: int
    """
    Root hash of the sender's crash records.
    """
    applied_index: int
    """
    Log index of the last table change applied by the sender.
    """
    group_id: str
    """
    Control group that the sender follows.
    """
    beacon_index: int
    """
    Commit index that a quorum last confirmed; -1 when none is known.
    """
    beacon_age_s: float
    """
    Age of that confirmation, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class PingRequest:
    """
    Asks a member to ping another member on the sender's behalf.
    """

    target: str
    """
    Member to ping.
    """
    nonce: int
    """
    Number of the sender's ping.
    """


@dataclass(kw_only=True, slots=True)
class PingReport:
    """
    Reports that a member replied to a ping made on the sender's behalf.
    """

    target: str
    """
    Member that replied.
    """
    nonce: int
    """
    Number copied from the request.
    """


@dataclass(kw_only=True, slots=True)
class MemberNews:
    """
    Gossips the state of members.
    """

    members: list[Any]
    """
    Members, each as a list.
    """


@dataclass(kw_only=True, slots=True)
class UpstreamNews:
    """
    Gossips the state of upstreams.
    """

    entries: list[Any]
    """
    Entries, each as a list.
    """
    token: str
    """
    Identifier that the requested receipt repeats; empty requests no receipt.
    """


@dataclass(kw_only=True, slots=True)
class SyncBuckets:
    """
    Compares the state of two instances by bucket hashes.
    """

    subject: str
    """
    Compared state: members, upstreams or crashes.
    """
    hashes: list[Any]
    """
    Hash of each bucket.
    """
    reply: bool
    """
    Whether this is the reply to a comparison.
    """


@dataclass(kw_only=True, slots=True)
class RenewRequest:
    """
    Forwards a renewal to the instance that owns the lease.
    """

    upstream_id: str
    """
    Upstream that renewed.
    """
    incarnation: int
    """
    Incarnation of the upstream.
    """
    lease_s: float
    """
    Length of the lease, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class FollowRequest:
    """
    Requests the table changes after an index.
    """

    after_index: int
    """
    Last index applied by the sender.
    """
    offset: int
    """
    Number of bytes of the snapshot received so far.
    """
    snapshot_index: int
    """
    Index of the snapshot being transferred; 0 for none.
    """


@dataclass(kw_only=True, slots=True)
class FollowEntries:
    """
    Sends committed table changes.
    """

    group_id: str
    """
    Control group of the changes.
    """
    entries: list[Any]
    """
    Entries as [index, kind, payload].
    """


@dataclass(kw_only=True, slots=True)
class FollowPiece:
    """
    One piece of a snapshot of the tables.
    """

    group_id: str
    """
    Control group of the tables.
    """
    index: int
    """
    Last log index that the tables include.
    """
    offset: int
    """
    Offset of the piece, in bytes.
    """
    piece: bytes
    """
    Bytes of the piece.
    """
    final: bool
    """
    Whether this is the last piece.
    """


@dataclass(kw_only=True, slots=True)
class ClaimRequest:
    """
    Requests a claim of an idempotency key from a holder.
    """

    key: str
    """
    Digest of the route and the idempotency key.
    """
    claim_id: str
    """
    Identifier of the claim.
    """
    digest: str
    """
    Digest of the request.
    """
    left_s: float
    """
    Seconds until the request's deadline.
    """


@dataclass(kw_only=True, slots=True)
class ClaimReply:
    """
    Replies to a claim request.
    """

    key: str
    """
    Digest of the route and the idempotency key.
    """
    claim_id: str
    """
    Identifier of the requested claim.
    """
    verdict: str
    """
    Outcome: granted, running, done, unknown, reused or unavailable.
    """
    status: int
    """
    HTTP status of the stored response.
    """
    headers: list[Any]
    """
    Headers of the stored response.
    """
    body: bytes
    """
    Body of the stored response.
    """


@dataclass(kw_only=True, slots=True)
class ClaimFinish:
    """
    Stores the response to a claimed request.
    """

    key: str
    """
    Digest of the route and the idempotency key.
    """
    claim_id: str
    """
    Identifier of the claim.
    """
    digest: str
    """
    Digest of the request.
    """
    status: int
    """
    HTTP status of the response; 0 when the outcome is unknown.
    """
    headers: list[Any]
    """
    Headers of the response.
    """
    body: bytes
    """
    Body of the response.
    """


@dataclass(kw_only=True, slots=True)
class ClaimFinished:
    """
    Confirms that a holder stored the response.
    """

    key: str
    """
    Digest of the route and the idempotency key.
    """
    claim_id: str
    """
    Identifier of the claim.
    """


@dataclass(kw_only=True, slots=True)
class ClaimRelease:
    """
    Releases a claim whose request was not run.
    """

    key: str
    """
    Digest of the route and the idempotency key.
    """
    claim_id: str
    """
    Identifier of the claim.
    """


@dataclass(kw_only=True, slots=True)
class ClaimFetch:
    """
    Requests the claims of another holder after the sender lost its disk.
    """

    after: str
    """
    Last key received; empty at the start.
    """
    disk_id: str
    """
    Identifier of the sender's disk.
    """


@dataclass(kw_only=True, slots=True)
class ClaimBatch:
    """
    Sends claims to a holder that lost its disk.
    """

    claims: list[Any]
    """
    Claims, each as a list.
    """
    final: bool
    """
    Whether this is the last batch.
    """
    disk_id: str
    """
    Identifier copied from the request.
    """


@dataclass(kw_only=True, slots=True)
class Handover:
    """
    Asks a control instance to start an election at once, to transfer leadership to it.
    """

    term: int
    """
    Term of the leader.
    """


@dataclass(kw_only=True, slots=True)
class NewsReceipt:
    """
    Confirms that the updates with a token were received.
    """

    token: str
    """
    Token copied from the updates.
    """


@dataclass(kw_only=True, slots=True)
class ReadRequest:
    """
    Requests from the leader an index that covers every accepted change.
    """

    token: str
    """
    Identifier of the read.
    """


@dataclass(kw_only=True, slots=True)
class ReadReply:
    """
    Replies to a read request.
    """

    token: str
    """
    Identifier of the read.
    """
    index: int
    """
    Index that the reader must have applied; -1 when it is unknown.
    """


@dataclass(kw_only=True, slots=True)
class RateLimitReport:
    """
    Reports the rate limit that an upstream names to the owner of its lease.
    """

    upstream_id: str
    """
    Upstream that names the limit.
    """
    incarnation: int
    """
    Incarnation of the upstream.
    """
    limit_per_s: float | None
    """
    Requests per second for the whole fleet; null when the upstream names no limit any more.
    """


@dataclass(kw_only=True, slots=True)
class PermitRequest:
    """
    Requests permits for requests to an upstream that limits its rate.
    """

    upstream_id: str
    """
    Upstream to send requests to.
    """
    limit_per_s: float
    """
    Limit that the sender knows, in requests per second.
    """
    count: int
    """
    Permits wanted.
    """
    requested_at: float
    """
    Time of the request at its sender, in seconds, which the reply repeats.
    """


@dataclass(kw_only=True, slots=True)
class PermitReply:
    """
    Grants permits, or says when to request them again.
    """

    upstream_id: str
    """
    Upstream that the permits are for.
    """
    count: int
    """
    Permits granted; 0 for none.
    """
    wait_s: float
    """
    Time before the first use, or before the next request, in seconds.
    """
    requested_at: float
    """
    Time in the request, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class CrashNews:
    """
    Gossips requests under which upstreams ended.
    """

    records: list[Any]
    """
    Crash records, each as a list.
    """


@dataclass(kw_only=True, slots=True)
class EvacuationRequest:
    """
    Passes an order to evacuate or restore an availability zone on to the leader.
    """

    token: str
    """
    Identifier of the order.
    """
    zone: str
    """
    Availability zone.
    """
    evacuated: bool
    """
    Whether the zone is to be evacuated.
    """
    at: float
    """
    Unix time of the order, in seconds.
    """
    order_count: int
    """
    Number of orders that were known before this one was given.
    """


@dataclass(kw_only=True, slots=True)
class EvacuationReply:
    """
    Replies to an order to evacuate or restore an availability zone.
    """

    token: str
    """
    Identifier of the order.
    """
    committed: bool
    """
    Whether a quorum has stored the order.
    """
    order_count: int
    """
    Number of orders in the log, one of which has overtaken an order that is not committed; -1 when it is not known.
    """
    leader: str
    """
    Instance to send the order to; empty when none is known.
    """


@dataclass(kw_only=True, slots=True)
class PermitReturn:
    """
    Returns permits that were not used.
    """

    upstream_id: str
    """
    Upstream that the permits were for.
    """
    count: int
    """
    Permits returned.
    """


@dataclass(kw_only=True, slots=True)
class WarmupReport:
    """
    Reports to the owner of its lease that an upstream is cold.
    """

    upstream_id: str
    """
    Upstream that is cold.
    """
    incarnation: int
    """
    Incarnation of the upstream.
    """
    left_s: float
    """
    Remaining time for which it is cold, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class QuotaRequest:
    """
    Requests permits for requests of organisations from the leader of the control group.
    """

    requested_at: float
    """
    Time of the request at its sender, in seconds, which the reply repeats.
    """
    items: list[Any]
    """
    Name, permits wanted and permits in advance of each organisation, as a list.
    """


@dataclass(kw_only=True, slots=True)
class QuotaReply:
    """
    Grants permits for requests of organisations, or names the leader.
    """

    requested_at: float
    """
    Time in the request, in seconds.
    """
    issued_at: float
    """
    Time of the reply at its sender, in seconds, by which permits are returned.
    """
    leader: str
    """
    Leader of the control group as its sender knows it; empty when unknown.
    """
    grants: list[Any]
    """
    Name, permits granted, time before the next request and validity in seconds of each organisation, as a list; none if the sender may not issue permits.
    """


@dataclass(kw_only=True, slots=True)
class QuotaReturn:
    """
    Returns permits for requests of organisations that were not used.
    """

    items: list[Any]
    """
    Name, time of issue and permits of that time returned so far, of each organisation, as a list.
    """


@dataclass(kw_only=True, slots=True)
class Route:
    """
    One row of the routes table.
    """

    name: str
    """
    Unique name of the route.
    """
    pool: str = ""
    """
    Name of the pool that serves the route; empty when the route is split.
    """
    split: list[Share] = field(default_factory=list)
    """
    Pools among which the requests are split by weight.
    """
    type: Literal["", "safe", "unsafe", "download"] = ""
    """
    Whether requests may be repeated: safe and download may, unsafe may not; when empty, the method decides.
    """
    max_attempts: int = 4
    """
    Maximum number of upstreams to which one request may be sent.
    """
    priority: int = 0
    """
    Priority of the route; 0 is the highest.
    """
    host: str = ""
    """
    Host to match; empty matches every host.
    """
    path_prefix: str = "/"
    """
    Path prefix to match; the longest prefix wins.
    """
    methods: list[str] = field(default_factory=list)
    """
    Methods to match; empty matches every method.
    """
    timeout_ms: float = 10000
    """
    Timeout of a request, in milliseconds.
    """
    idempotent: bool | None = None
    """
    Whether requests may be repeated; when null, the method decides.
    """
    objective_latency_ms: float = 1000
    """
    Latency objective, in milliseconds.
    """
    objective_ratio: float = 0.999
    """
    Fraction of requests that must meet the objective.
    """
    public: bool = False
    """
    Whether requests are served without the key of an organisation.
    """
