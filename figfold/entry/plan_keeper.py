"""Keeps the plan in force: reads the head row, fetches bodies, takes later plans from peers."""

import json
from collections.abc import Callable

import eventlet
from attrs import Factory, define, frozen

from figfold.core.codes import Code
from figfold.core.confirmation import ConfirmationTracker, StoreHealth
from figfold.core.plan import Head, PlanInForce, decode_head, make_plan
from figfold.entry.clock import now_s
from figfold.entry.metrics import Metrics
from figfold.platform.client import PlatformClient, Row
from figfold.wire.client import PeerClient
from figfold.wire.messages import PlanReply, PlanRequest

TABLE = "plan"
HEAD_ROW = "head"
# Bodies of earlier plans that are read at the same time.
BODIES_AT_ONCE = 4
# After one of these, the row that was read last is no ground for a conditional read.
REREAD_WHOLE_CODES = frozenset({Code.STORE_MISSING, Code.STORE_BAD_ANSWER})


def body_object(digest):
    """Return the name of the object that holds a plan's body."""
    return f"plan-{digest}"


@frozen
class StoredPlan:
    """The bytes of a plan as the store keeps them, for peers that cannot reach the store."""

    version: int
    head: bytes
    body: bytes


@frozen
class ReadHead:
    """The head row as it was last read, and what it says."""

    row: Row
    head: Head


@frozen
class _AcceptedBy:
    """The version of a head row, and the latest time at which it can have been written."""

    version: int
    at_s: float


@define(eq=False)
class PlanKeeper:
    """The plan in force at this entry and how fresh that knowledge is.

    Attributes
    ----------
    head : Head or None
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
    stored: StoredPlan = StoredPlan(0, b"", b"")
    head: Head | None = None
    _fetching: set = Factory(set)
    _last_read: ReadHead | None = None
    _accepted_by: _AcceptedBy | None = None

    @property
    def plan(self):
        """Return the plan in force, None before the first one."""
        return self.state.plan

    @property
    def version(self):
        """Return the version in force, zero for none."""
        return self.stored.version

    @property
    def digest(self):
        """Return the digest of the plan in force, empty for none."""
        return self.plan.digest if self.plan else ""

    @property
    def accepted_by_s(self):
        """Return when the plan in force was accepted at the latest, None if no store told yet."""
        known = self._accepted_by
        return known.at_s if known and known.version == self.version else None

    def read_bodies(self, digests):
        """Return the bodies of some plans as the store has them, None unless all were read."""
        pool = eventlet.GreenPool(BODIES_AT_ONCE)
        names = [body_object(digest) for digest in digests]
        reads = list(pool.imap(self.store.get_object, names))
        if any(read.is_err() for read in reads):
            self.metrics.count("retries", reason="earlier_plan_bodies")
            return None
        return [read.ok() for read in reads]

    def refresh(self):
        """Read the head row once and take a later plan; return whether the store answered."""
        started = now_s()
        last = self._last_read
        read = self.store.get_row(TABLE, HEAD_ROW, last.row if last else None)
        if read.is_err():
            return self._note_failed_read(read.err().code, started)
        self._note_health(True)
        row = read.ok()
        if last is None or row is not last.row:
            last = self._decode(row)
        if last is not None:
            # A head that has not changed is a fresh reading too: it confirms the plan, and a body
            # that could not be fetched is asked for again.
            self._take_head(last.head, row.value, started)
        return True

    def _note_failed_read(self, code, started):
        if code in REREAD_WHOLE_CODES:
            self._last_read = None
        is_missing = code is Code.STORE_MISSING
        self._note_health(is_missing)
        if is_missing:
            self.confirmation.record_store_read(0, started)
        return is_missing

    def _decode(self, row):
        head = decode_head(row.value)
        if head.is_err():
            self.metrics.count_code(head.err().code)
            self._last_read = None
        else:
            self._last_read = ReadHead(row, head.ok())
            # The age is by the store's clock alone, and rounded down.
            self._accepted_by = _AcceptedBy(head.ok().version, now_s() - row.age_s)
        return self._last_read

    def fetch_from_peer(self, version, peer_address):
        """Fetch a later plan from a peer; return whether it is in force now."""
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
        return self._take(asked.ok().head, asked.ok().body, "peer")

    def take_offer(self, data):
        """Take an accepted plan that an operator's command hands over; return the one in force.

        The command does so right after the acceptance, so that the plan comes into force even
        when the store is lost before any entry has read it.
        """
        try:
            offer = json.loads(data)
            head, body = offer["head"].encode(), offer["body"].encode()
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            self.metrics.count_code(Code.PLAN_CORRUPT)
            return self.version
        self._take(head, body, "operator")
        return self.version

    def answer_request(self, request):
        """Return the plan in force to a peer that lacks it."""
        if not self.version or self.version < request.version:
            return PlanReply(False)
        return PlanReply(True, self.stored.head, self.stored.body)

    def _take_head(self, head, head_bytes, started):
        if head.version > self.version:
            body = self.store.get_object(body_object(head.digest))
            if body.is_err():
                self.metrics.count("retries", reason="plan_body")
                self.confirmation.record_store_read(head.version, started)
                return
            self._take(head_bytes, body.ok(), "store")
        elif head.version < self.version:
            # A stale read: what is in force is never replaced by a lower version.
            self.metrics.count("stale_heads")
            return
        self.confirmation.record_store_read(head.version, started)

    def _take(self, head_bytes, body, source):
        head = decode_head(head_bytes)
        plan = make_plan(head.ok(), body) if head.is_ok() else head
        if plan.is_err():
            self.metrics.count_code(plan.err().code)
            return False
        if not self.state.offer(plan.ok()):
            return False
        taken = plan.ok()
        self.stored = StoredPlan(taken.version, head_bytes, body)
        self.head = head.ok()
        self.confirmation.set_version_in_force(taken.version)
        self.log.info("plan in force", version=taken.version, digest=taken.digest, source=source)
        self.on_change()
        return True

    def _note_health(self, reachable):
        before = self.health.reachable
        if reachable:
            self.health.record_success(now_s())
        else:
            self.health.record_failure(now_s())
        if before is not self.health.reachable:
            self.log.info("store reachable" if reachable else "store unreachable")
