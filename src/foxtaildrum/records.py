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
    Share of a pool in the requests of a route.
    """

    pool: str
    """
    Name of the pool.
    """
    weight: float
    """
    Weight of the pool among the shares of the route.
    """


@dataclass(kw_only=True, slots=True)
class Limits:
    """
    Bounds on what a caller may send.
    """

    max_header_bytes: int = 32768
    """
    Largest header section of a request, in bytes.
    """
    max_body_bytes: int = 1073741824
    """
    Largest body of a request, in bytes.
    """
    header_timeout_ms: float = 60000
    """
    Time that the header section of a request may take, in milliseconds.
    """
    idle_timeout_ms: float = 120000
    """
    Time that a connection may stay idle, in milliseconds.
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
    Slots of an upstream that does not announce them.
    """
    measuring_budget_ratio: float = 0.01
    """
    Share of the pool's upstream time that probes and hedges may cost.
    """
    retry_budget_ratio: float | None = None
    """
    Retries allowed per request; null takes the setting.
    """
    load_path: str = ""
    """
    Path of the load endpoint; empty when there is none.
    """
    health_path: str = ""
    """
    Path of the status check; empty when there is none.
    """
    max_conns: int = 0
    """
    Connections that an upstream accepts from all callers together; 0 when unknown.
    """
    protocol: Literal["h1"] = "h1"
    """
    Protocol of the upstreams.
    """
    tls: Literal[False] = False
    """
    Whether the upstreams speak TLS.
    """


@dataclass(kw_only=True, slots=True)
class Announcement:
    """
    What an upstream says about itself.
    """

    pool: str
    """
    Pool that the upstream joins.
    """
    address: str
    """
    IP address and port.
    """
    availability_zone: str = ""
    """
    Availability zone of the upstream.
    """
    slots: int = 0
    """
    Requests served at once; 0 takes the pool's value.
    """
    state: Literal["ready", "draining"] = "ready"
    """
    Whether new requests are wanted.
    """
    incarnation: int = 0
    """
    Number that grows with each start of the upstream.
    """
    sequence: int = 0
    """
    Number that grows with each announcement of one incarnation; 0 when not given.
    """
    born: int = 0
    """
    Unix time of the upstream's start, in milliseconds; stands for the incarnation where that is not given.
    """
    warmup_left_ms: float = 0
    """
    Time that the upstream stays slow after its start, in milliseconds.
    """
    version: str = ""
    """
    Version of the upstream's software.
    """
    lease_s: float = 15
    """
    Seconds until the announcement expires.
    """


@dataclass(kw_only=True, slots=True)
class Settings:
    """
    Settings of one instance.
    """

    role: Literal["all", "entry", "control"] = "all"
    """
    What the instance does: all, entry or control.
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
    Address for callers.
    """
    admin_listen: str = "127.0.0.1:8081"
    """
    Address for operators and upstreams.
    """
    peer_listen: str = ""
    """
    Address for other instances; empty for a site of one instance.
    """
    seeds: str = ""
    """
    Instances to join, as ID=HOST:PORT,...; the control group is learnt from them.
    """
    bootstrap: bool = False
    """
    Whether the seeds form a new control group, at the very first start only.
    """
    tolerated_losses: int = 0
    """
    Control instances whose disks may be lost at once; a change is accepted once it is synced on one disk more.
    """
    announcement_lease_s: float = 15
    """
    Seconds until an announcement that names no lease expires.
    """
    sample_size: int = 0
    """
    Upstreams whose load is asked for before a request is sent; 0 asks none.
    """
    probes_per_s: float = 0
    """
    Status checks that each upstream may get a second from all entry instances together.
    """
    retry_budget_ratio: float = 0.1
    """
    Retries allowed per request in pools whose row does not say.
    """
    retry_slack: float = 0
    """
    Retries and hedges of a pool allowed at once by all entry instances together, beside the ratio; 0 allows 10 to each instance.
    """
    control: str = ""
    """
    Control instances as ID=HOST:PORT,...; empty for a site of one instance.
    """
    data_dir: str = "foxtaildrum-data"
    """
    Folder of the durable state.
    """
    log_lines_per_s: int = 200
    """
    Lines of one event logged a second; half of them are kept for failures.
    """
    dialect: str = "foxtaildrum"
    """
    Registered name of the names used towards callers and upstreams.
    """
    metrics_listen: str = ""
    """
    Address that shows nothing but metrics, beside the admin address; empty opens none.
    """
    statsd: str = ""
    """
    HOST:PORT that receives statsd metrics; empty sends none.
    """
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    """
    Least severe level that is logged.
    """
    log_format: Literal["kv", "json"] = "kv"
    """
    Layout of a log line: kv or json.
    """
    access_log: bool = True
    """
    Whether each request is logged.
    """
    shutdown_grace_s: float = 30
    """
    Seconds allowed for a graceful shutdown.
    """
    unready_s: float = 1
    """
    Seconds between turning unready and closing the listener.
    """
    operator_token_file: str = ""
    """
    File with the token that operators must present; empty asks for none.
    """
    fleet_key_file: str = ""
    """
    File with the key that signs frames between instances.
    """
    threads: int = 256
    """
    Requests handled at once by the instance; one pool takes at most half of them when there are several.
    """
    max_connections: int = 1000
    """
    Caller connections held at once.
    """
    max_header_bytes: int = 32768
    """
    Largest header section of a request, in bytes.
    """
    max_body_bytes: int = 1073741824
    """
    Largest body of a request, in bytes.
    """
    write_deadline_s: float = 30
    """
    Seconds a caller may take without reading any byte of its answer.
    """
    queue_limit: int = 48
    """
    Requests that may wait for a slot in one pool.
    """


@dataclass(kw_only=True, slots=True)
class ControlProbe:
    """
    Asks a control instance whether its disk has ever taken part.
    """

    disk_id: str
    """
    Identifier of the sender's disk.
    """
    pristine: bool
    """
    Whether the sender's disk never took part.
    """
    reply: bool
    """
    Whether this answers a probe.
    """


@dataclass(kw_only=True, slots=True)
class VoteRequest:
    """
    Asks for a vote, or for the promise of one.
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
    Whether only a promise is asked for.
    """


@dataclass(kw_only=True, slots=True)
class VoteReply:
    """
    Answers a vote request.
    """

    term: int
    """
    Term of the sender, or of the election when granted.
    """
    granted: bool
    """
    Whether the vote is given.
    """
    pre: bool
    """
    Whether it answers a request for a promise.
    """
    disk_id: str
    """
    Identifier of the sender's disk.
    """


@dataclass(kw_only=True, slots=True)
class AppendRequest:
    """
    Replicates entries and proves the leader alive.
    """

    term: int
    """
    Term of the leader.
    """
    previous_index: int
    """
    Index before the first entry.
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
    Leader's clock when it sent this, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class AppendReply:
    """
    Answers an append request.
    """

    term: int
    """
    Term of the sender.
    """
    matched: bool
    """
    Whether the entries fit the sender's log.
    """
    match_index: int
    """
    Last index known to match, or a hint where to go on.
    """
    sent_at: float
    """
    Time taken from the request.
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
    Last index that the snapshot holds.
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
    Leader's clock when it sent this, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class SnapshotReply:
    """
    Tells how far a snapshot was received.
    """

    term: int
    """
    Term of the sender.
    """
    index: int
    """
    Last index that the snapshot holds.
    """
    offset: int
    """
    Bytes received so far.
    """
    sent_at: float
    """
    Time taken from the request.
    """
    disk_id: str
    """
    Identifier of the sender's disk.
    """


@dataclass(kw_only=True, slots=True)
class ProposeRequest:
    """
    Passes a change on to the leader.
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
    Answers a proposal that was passed on.
    """

    token: str
    """
    Identifier of the proposal.
    """
    verdict: str
    """
    Verdict on the change.
    """
    version: int
    """
    Version of the table.
    """
    changed_by: str
    """
    Change that made the version.
    """
    problems: list[Any]
    """
    Problems of an invalid table.
    """
    detail: str
    """
    Text for the operator.
    """


@dataclass(kw_only=True, slots=True)
class Ping:
    """
    Asks a neighbour whether it is alive and what it knows.
    """

    nonce: int
    """
    Number that the answer repeats.
    """
    member: list[Any]
    """
    The sender as a member.
    """
    members_root: int
    """
    Digest of the sender's members.
    """
    upstreams_root: int
    """
    Digest of the sender's upstreams.
    """
    applied_index: int
    """
    Last table change in force at the sender.
    """


@dataclass(kw_only=True, slots=True)
class Ack:
    """
    Answers a ping.
    """

    nonce: int
    """
    Number taken from the ping.
    """
    members_root: int
    """
    Digest of the sender's members.
    """
    upstreams_root: int
    """
    Digest of the sender's upstreams.
    """
    applied_index: int
    """
    Last table change in force at the sender.
    """
    group_id: str
    """
    Control group that the sender follows.
    """
    beacon_index: int
    """
    Commit index that a quorum confirmed; -1 when none is known.
    """
    beacon_age_s: float
    """
    Age of that confirmation, in seconds.
    """


@dataclass(kw_only=True, slots=True)
class PingRequest:
    """
    Asks a neighbour to ping a member on the sender's behalf.
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
    Tells that a member answered a ping made on request.
    """

    target: str
    """
    Member that answered.
    """
    nonce: int
    """
    Number taken from the request.
    """


@dataclass(kw_only=True, slots=True)
class MemberNews:
    """
    Spreads what is known of members.
    """

    members: list[Any]
    """
    Members as lists.
    """


@dataclass(kw_only=True, slots=True)
class UpstreamNews:
    """
    Spreads what is known of upstreams.
    """

    entries: list[Any]
    """
    Entries as lists.
    """
    token: str
    """
    Asks for a receipt under this identifier; empty asks for none.
    """


@dataclass(kw_only=True, slots=True)
class SyncBuckets:
    """
    Compares what two instances know, bucket by bucket.
    """

    subject: str
    """
    members or upstreams.
    """
    hashes: list[Any]
    """
    Hash of each bucket.
    """
    reply: bool
    """
    Whether this answers a comparison.
    """


@dataclass(kw_only=True, slots=True)
class RenewRequest:
    """
    Passes a renewal on to the instance that holds the lease.
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
    Asks for table changes after an index.
    """

    after_index: int
    """
    Last index in force at the sender.
    """
    offset: int
    """
    Bytes of the snapshot received so far.
    """
    snapshot_index: int
    """
    Index of the snapshot under way; 0 for none.
    """


@dataclass(kw_only=True, slots=True)
class FollowEntries:
    """
    Carries committed table changes.
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
    One piece of the tables in force.
    """

    group_id: str
    """
    Control group of the tables.
    """
    index: int
    """
    Index that the tables include.
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
    Asks a holder to record a claim of an idempotency key.
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
    Answers a claim.
    """

    key: str
    """
    Digest of the route and the idempotency key.
    """
    claim_id: str
    """
    Identifier of the claim that was asked for.
    """
    verdict: str
    """
    granted, running, done, unknown, reused or unavailable.
    """
    status: int
    """
    Status of the stored answer.
    """
    headers: list[Any]
    """
    Headers of the stored answer.
    """
    body: bytes
    """
    Body of the stored answer.
    """


@dataclass(kw_only=True, slots=True)
class ClaimFinish:
    """
    Stores the answer to a claimed request.
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
    Status of the answer; 0 when the outcome is unknown.
    """
    headers: list[Any]
    """
    Headers of the answer.
    """
    body: bytes
    """
    Body of the answer.
    """


@dataclass(kw_only=True, slots=True)
class ClaimFinished:
    """
    Tells that a holder stored the answer.
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
    Gives back a claim whose request was not run.
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
    Asks a holder for its claims after a lost disk.
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
    Carries claims to a holder that lost its disk.
    """

    claims: list[Any]
    """
    Claims as lists.
    """
    final: bool
    """
    Whether these are the last.
    """
    disk_id: str
    """
    Identifier taken from the request.
    """


@dataclass(kw_only=True, slots=True)
class Handover:
    """
    Asks a control instance to campaign at once.
    """

    term: int
    """
    Term of the leader.
    """


@dataclass(kw_only=True, slots=True)
class NewsReceipt:
    """
    Tells that the news under a token was taken.
    """

    token: str
    """
    Identifier taken from the news.
    """


@dataclass(kw_only=True, slots=True)
class ReadRequest:
    """
    Asks the leader for an index that every accepted change is below.
    """

    token: str
    """
    Identifier of the read.
    """


@dataclass(kw_only=True, slots=True)
class ReadReply:
    """
    Answers a read request.
    """

    token: str
    """
    Identifier of the read.
    """
    index: int
    """
    Index that the reader must have applied; -1 when it cannot be told.
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
    Name of the pool that serves the route; empty where the route is split.
    """
    split: list[Share] = field(default_factory=list)
    """
    Pools that share the requests by weight.
    """
    type: Literal["", "safe", "unsafe", "download"] = ""
    """
    What may be repeated: safe and download may, unsafe may not; by method when empty.
    """
    max_attempts: int = 4
    """
    Most upstreams that one request may be sent to.
    """
    priority: int = 0
    """
    Rank of the route; 0 is the most urgent.
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
    Time allowed for a request, in milliseconds.
    """
    idempotent: bool | None = None
    """
    Whether a request may be repeated; by method when null.
    """
    objective_latency_ms: float = 1000
    """
    Latency objective, in milliseconds.
    """
    objective_ratio: float = 0.999
    """
    Share of requests that must meet the objective.
    """
