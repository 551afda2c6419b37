"""Tracks when the plan in force was last confirmed to be the latest one."""

from enum import Enum

from attrs import define, evolve, frozen

# Fetching a later plan takes a few round trips between regions. Until then the plan in force
# stays in use, as it does at entries that have not heard of the later one yet.
PLAN_FETCH_GRACE_S = 1.0

# Age reported by an entry without any confirmation; the message format needs a finite number.
UNKNOWN_AGE_S = 1e9


class ConfirmationReason(Enum):
    """Why the plan in force counts as confirmed, or why not."""

    STORE = "store"
    PEER = "peer"
    MAJORITY = "majority"
    BEHIND = "behind"
    EXPIRED = "expired"
    NO_PLAN = "no-plan"


CONFIRMED_REASONS = frozenset(
    {ConfirmationReason.STORE, ConfirmationReason.PEER, ConfirmationReason.MAJORITY}
)


@frozen
class LaterPlan:
    """A plan later than the one in force.

    Attributes
    ----------
    version : int
    known_at : float
        When this entry first heard of a plan later than the one in force.
    refutable_after : float
        A store read begun after this time that does not show the plan proves that it does not
        exist. Infinite for a plan that a store read has shown, because reads may finish in a
        different order than they began.
    confirmed_at : float
        A time at which the store had no plan later than this one.
    source : ConfirmationReason
    """

    version: int
    known_at: float
    refutable_after: float
    confirmed_at: float
    source: ConfirmationReason


@define
class ConfirmationTracker:
    """Tracks the version in force and when the store last had no later one.

    Attributes
    ----------
    version : int
        Version of the plan in force, zero for none.
    confirmed_at : float or None
        Latest known time, in monotonic seconds, at which no plan later than ``version`` existed.
    source : ConfirmationReason
        Whether this is known from the store or from a peer.
    later : LaterPlan or None
        A later plan that is known to exist and has yet to be fetched.
    """

    confirm_ttl_s: float = 4.0
    version: int = 0
    confirmed_at: float | None = None
    source: ConfirmationReason = ConfirmationReason.STORE
    later: LaterPlan | None = None

    @classmethod
    def from_config(cls, confirm_ttl_s):
        """Return a tracker without a plan; a confirmation expires after ``confirm_ttl_s``."""
        return cls(confirm_ttl_s=confirm_ttl_s)

    def record_store_read(self, version, started_at_s):
        """Record that a read of the head row begun at ``started_at_s`` showed ``version``."""
        later = self.later
        if later and version < later.version and started_at_s > later.refutable_after:
            self.later = None
        later = LaterPlan(
            version, started_at_s, float("inf"), started_at_s, ConfirmationReason.STORE
        )
        self._apply_evidence(later)

    def record_peer_report(self, report, request_sent_at_s, now_s):
        """Record the version and the age of the confirmation that a peer reports.

        Parameters
        ----------
        report : EntryReport
        request_sent_at_s : float or None
            When the request was sent to which this report is the reply. The reported age counts
            from there, which can only overestimate it. None for a report that came as a request,
            whose age is unknown, so that it confirms nothing.
        now_s : float
        """
        confirmed_at = float("-inf")
        if request_sent_at_s is not None:
            confirmed_at = request_sent_at_s - report.store_age_s
        self._apply_evidence(
            LaterPlan(report.plan_version, now_s, now_s, confirmed_at, ConfirmationReason.PEER)
        )

    def set_version_in_force(self, version):
        """Set the version in force; a version that is not higher is ignored."""
        if version <= self.version:
            return
        self.version = version
        later = self.later
        if later and later.version <= version:
            self.later = None
            self._extend_confirmation(later.confirmed_at, later.source)

    def reason(self, now_s, majority_contact=False):
        """Return why the plan in force counts as confirmed, or why not."""
        if not self.version:
            return ConfirmationReason.NO_PLAN
        if self._is_behind(now_s):
            return ConfirmationReason.BEHIND
        if self.store_age_s(now_s) <= self.confirm_ttl_s:
            return self.source
        # Contact with a majority confirms the plan only while no later one is known.
        if majority_contact and not self.later:
            return ConfirmationReason.MAJORITY
        return ConfirmationReason.EXPIRED

    def is_confirmed(self, now_s, majority_contact):
        """Return whether the plan in force is confirmed, so that it may be acted on.

        Parameters
        ----------
        now_s : float
        majority_contact : bool
            Whether more than half of the entries were in contact within ``confirm_ttl_s``. None
            of them knows a later plan then, or this entry would know of it too.
        """
        return self.reason(now_s, majority_contact) in CONFIRMED_REASONS

    def store_age_s(self, now_s):
        """Return the seconds since the latest confirmation, as this entry reports it to peers."""
        if self.confirmed_at is None:
            return UNKNOWN_AGE_S
        return min(UNKNOWN_AGE_S, max(0.0, now_s - self.confirmed_at))

    def _is_behind(self, now_s):
        return self.later is not None and now_s - self.later.known_at > PLAN_FETCH_GRACE_S

    def _apply_evidence(self, evidence):
        if evidence.version <= self.version:
            self._extend_confirmation(evidence.confirmed_at, evidence.source)
        elif self.later is None or evidence.version >= self.later.version:
            self._record_later_plan(evidence)

    def _record_later_plan(self, later):
        known = self.later
        if known and known.version == later.version:
            newest = max(known, later, key=lambda one: one.confirmed_at)
            refutable_after = max(known.refutable_after, later.refutable_after)
            later = evolve(newest, refutable_after=refutable_after)
        # The grace period starts with the first later plan and is not extended by further ones.
        self.later = evolve(later, known_at=min(known.known_at, later.known_at)) if known else later

    def _extend_confirmation(self, confirmed_at, source):
        if confirmed_at == float("-inf"):
            return
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.source = source


@define
class StoreHealth:
    """Tracks whether the store answers and since when; None before the first attempt."""

    reachable: bool | None = None
    since_s: float = 0.0

    def record_success(self, now_s):
        """Record that the store answered; return whether that is a change."""
        return self._set(True, now_s)

    def record_failure(self, now_s):
        """Record that the store did not answer; return whether that is a change."""
        return self._set(False, now_s)

    def _set(self, reachable, now_s):
        if reachable == self.reachable:
            return False
        self.reachable = reachable
        self.since_s = now_s
        return True
