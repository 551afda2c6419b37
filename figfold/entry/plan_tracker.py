"""Tracks the plan in force, which it reads from the store or gets from peers."""

import json
from collections.abc import Callable

import eventlet
from attrs import Factory, define, frozen

from figfold.core.codes import Code
from figfold.core.confirmation import ConfirmationTracker, StoreHealth
from figfold.core.plan import PlanHead, PlanInForce, decode_head, make_plan
from figfold.entry.clock import now_s
from figfold.entry.metrics import Metrics
from figfold.platform.client import PlatformClient, Row
from figfold.wire.client import PeerClient
from figfold.wire.messages import PlanReply, PlanRequest

TABLE = "plan"
HEAD_ROW = "head"

CONCURRENT_BODY_READS = 4
# After one of these results the cached head is dropped, so the next read is not conditional.
UNCONDITIONAL_READ_CODES = frozenset({Code.STORE_MISSING, Code.STORE_BAD_ANSWER})


def body_object(digest):
    """Return the name of the object that holds a plan's body."""
    return f"plan-{digest}"


@frozen
class EncodedPlan:
    """Head and body of a plan as they are stored, sent to peers that cannot reach the store."""

    version: int
    head: bytes
    body: bytes


@frozen
class CachedHead:
    """The head row of the latest read, raw and decoded."""

    row: Row
    head: PlanHead


@frozen
class _AcceptanceBound:
    """The version of a head row, and the latest time at which it may have been written."""

    version: int
    latest_s: float


@define(eq=False)
class PlanTracker:
    """The plan in force at this entry, and how recently it was confirmed to be the latest.

    Attributes
    ----------
    on_change : callable
        Called with no argument after another plan came into force.
    head : PlanHead or None
        The head row that came with the plan in force.
    """

    store: PlatformClient
    peers: PeerClient
    metrics: Metrics
    log: object
    state: PlanInForce
    confirmation: ConfirmationTracker
    health: StoreHealth
    on_change: Callable
    peer_timeout_s: float
    stored: EncodedPlan = EncodedPlan(0, b"", b"")
    head: PlanHead | None = None
    _fetching: set = Factory(set)
    _cached_head: CachedHead | None = None
    _acceptance_bound: _AcceptanceBound | None = None

    @property
    def plan(self):
        """Return the plan in force, None before the first one."""
        return self.state.plan

    @property
    def version(self):
        """Return the version of the plan in force, zero without a plan."""
        return self.stored.version

    @property
    def digest(self):
        """Return the digest of the plan in force, empty without a plan."""
        return self.plan.digest if self.plan else ""

    @property
    def latest_acceptance_s(self):
        """Return the latest time at which the plan in force may have been accepted.

        It is None until the head row of this plan was read from the store.
        """
        known = self._acceptance_bound
        return known.latest_s if known and known.version == self.version else None

    def read_bodies(self, digests):
        """Return the stored bodies of the plans with these digests, or None if any read failed."""
        pool = eventlet.GreenPool(CONCURRENT_BODY_READS)
        names = [body_object(digest) for digest in digests]
        reads = list(pool.imap(self.store.get_object, names))
        if any(read.is_err() for read in reads):
            self.metrics.count("retries", reason="earlier_plan_bodies")
            return None
        return [read.ok() for read in reads]

    def refresh(self):
        """Read the head row once and apply a later plan; return whether the store answered."""
        started = now_s()
        last = self._cached_head
        read = self.store.get_row(TABLE, HEAD_ROW, last.row if last else None)
        if read.is_err():
            return self._handle_failed_read(read.err().code, started)
        self._record_store_health(True)
        row = read.ok()
        if last is None or row is not last.row:
            last = self._decode_and_cache(row)
        if last is not None:
            # An unchanged head is applied as well: it confirms the plan, and a body that could
            # not be fetched before is requested again.
            self._apply_head(last.head, row.value, started)
        return True

    def _handle_failed_read(self, code, started):
        if code in UNCONDITIONAL_READ_CODES:
            self._cached_head = None
        is_missing = code is Code.STORE_MISSING
        self._record_store_health(is_missing)
        if is_missing:
            self.confirmation.record_store_read(0, started)
        return is_missing

    def _decode_and_cache(self, row):
        head = decode_head(row.value)
        if head.is_err():
            self.metrics.count_code(head.err().code)
            self._cached_head = None
        else:
            self._cached_head = CachedHead(row, head.ok())
            # The store gives the age of the row by its own clock, rounded down.
            self._acceptance_bound = _AcceptanceBound(head.ok().version, now_s() - row.age_s)
        return self._cached_head

    def fetch_from_peer(self, version, peer_address):
        """Fetch a later plan from a peer; return whether it came into force."""
        if version <= self.version or peer_address in self._fetching:
            return False
        self._fetching.add(peer_address)
        try:
            asked = self.peers.call(peer_address, PlanRequest(version), self.peer_timeout_s)
        finally:
            self._fetching.discard(peer_address)
        if asked.is_err() or not isinstance(asked.ok(), PlanReply) or not asked.ok().found:
            self.metrics.count("retries", reason="plan_from_peer")
            return False
        return self._apply_plan(asked.ok().head, asked.ok().body, "peer")

    def accept_offer(self, data):
        """Apply an accepted plan that an operator's command sends; return the version in force.

        The command sends it right after the store accepted it, so that the plan comes into force
        even if the store becomes unreachable before any entry has read it.
        """
        try:
            offer = json.loads(data)
            head, body = offer["head"].encode(), offer["body"].encode()
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            self.metrics.count_code(Code.PLAN_CORRUPT)
            return self.version
        self._apply_plan(head, body, "operator")
        return self.version

    def answer_request(self, request):
        """Return the plan in force to a peer that lacks it."""
        if not self.version or self.version < request.version:
            return PlanReply(False)
        return PlanReply(True, self.stored.head, self.stored.body)

    def _apply_head(self, head, head_bytes, started):
        if head.version > self.version:
            body = self.store.get_object(body_object(head.digest))
            if body.is_err():
                self.metrics.count("retries", reason="plan_body")
                self.confirmation.record_store_read(head.version, started)
                return
            self._apply_plan(head_bytes, body.ok(), "store")
        elif head.version < self.version:
            # Stale read: a plan is never replaced by one of a lower version.
            self.metrics.count("stale_heads")
            return
        self.confirmation.record_store_read(head.version, started)

    def _apply_plan(self, head_bytes, body, source):
        head = decode_head(head_bytes)
        plan = make_plan(head.ok(), body) if head.is_ok() else head
        if plan.is_err():
            self.metrics.count_code(plan.err().code)
            return False
        if not self.state.offer(plan.ok()):
            return False
        applied = plan.ok()
        self.stored = EncodedPlan(applied.version, head_bytes, body)
        self.head = head.ok()
        self.confirmation.set_version_in_force(applied.version)
        self.log.info(
            "plan in force", version=applied.version, digest=applied.digest, source=source
        )
        self.on_change()
        return True

    def _record_store_health(self, reachable):
        before = self.health.reachable
        if reachable:
            self.health.record_success(now_s())
        else:
            self.health.record_failure(now_s())
        if before is not self.health.reachable:
            self.log.info("store reachable" if reachable else "store unreachable")
