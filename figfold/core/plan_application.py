"""State machine that applies a plan: returns the next store operation after each answer.

The plan's body is stored already. What remains is one conditional write of the head row. When its
answer is lost, the head row is read again to find out whether the write took effect.
"""

from enum import Enum

from attrs import define, frozen
from result import Result

from figfold.core.codes import Code, Failure
from figfold.core.plan import PlanHead, next_head

MAX_READS = 5
MAX_WRITES = 4
# Failures after which a write has certainly not taken effect; after any other it may have.
NOT_WRITTEN_CODES = frozenset({Code.STORE_CONFLICT, Code.STORE_UNREACHABLE})


class Verdict(Enum):
    """How the application of a plan ended."""

    ACCEPTED = "accepted"
    ALREADY_IN_FORCE = "already-in-force"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


@frozen
class HeadWithEtag:
    """The head as read from the store, with the row's entity tag; both None without a row."""

    head: PlanHead | None
    etag: str | None


@frozen
class ReadHead:
    """Step: read the head row and pass the result to `after_read`."""


@frozen
class WriteHead:
    """Step: write the head row conditionally and pass the result to `after_write`.

    Attributes
    ----------
    etag : str or None
        The entity tag that must match; None if the row must not exist yet.
    """

    head: PlanHead
    etag: str | None


@frozen
class Finished:
    """The result of an application.

    Attributes
    ----------
    head : PlanHead or None
        The head that decided the outcome: that of this application or a competing one.
    accepted_version : int
        The version under which this plan was accepted, zero if it was not.
    failure : Failure or None
        Why the plan is not in force.
    """

    verdict: Verdict
    head: PlanHead | None = None
    accepted_version: int = 0
    failure: Failure | None = None


@define
class PlanApplication:
    """The state of one application of a plan.

    Attributes
    ----------
    digest, operator : str
        Digest of the stored body, and the name of the operator.
    now_s : float
        Unix time of the application.
    expected_version : int or None
        The version that the plan was made from and that must still be in force; None skips
        this check.
    base : HeadWithEtag or None
        The head as read, whose entity tag is the condition of the write.
    intended : PlanHead or None
        The head that the write stores.
    may_be_written : bool
        Whether a write whose answer was lost may have taken effect or may still do so.
    """

    digest: str
    operator: str
    now_s: float
    expected_version: int | None = None
    base: HeadWithEtag | None = None
    intended: PlanHead | None = None
    may_be_written: bool = False
    reads: int = 0
    writes: int = 0


def after_read(application, read: Result[HeadWithEtag, Failure]):
    """Return the next step after a read of the head row."""
    application.reads += 1
    if read.is_err():
        return _read_again(application, read.unwrap_err())
    row = read.unwrap()
    if application.intended is None:
        return _first_write(application, row)
    return _resolve(application, row)


def after_write(application, written: Result[str, Failure]):
    """Return the next step after a conditional write of the head row."""
    application.writes += 1
    if written.is_ok():
        head = application.intended
        return Finished(Verdict.ACCEPTED, head, head.version)
    failure = written.unwrap_err()
    if failure.code is Code.STORE_UNREACHABLE:
        return _write_again(application, failure)
    if failure.code not in NOT_WRITTEN_CODES:
        application.may_be_written = True
    return ReadHead()


def _first_write(application, row):
    version = row.head.version if row.head else 0
    expected = application.expected_version
    if row.head and row.head.digest == application.digest:
        return Finished(Verdict.ALREADY_IN_FORCE, row.head, version)
    if expected is not None and version != expected:
        return Finished(Verdict.CONFLICT, row.head, 0, _conflict(row.head))
    application.base = row
    application.intended = next_head(
        row.head, application.digest, application.operator, application.now_s
    )
    return _write(application)


def _resolve(application, row):
    intended = application.intended
    head = row.head
    if head is None or head.version < intended.version:
        return _resolve_not_accepted(application, row)
    if head == intended:
        return Finished(Verdict.ACCEPTED, head, intended.version)
    if _is_in_history(intended, head):
        return Finished(Verdict.SUPERSEDED, head, intended.version, _conflict(head))
    if head.digest == application.digest:
        return Finished(Verdict.ALREADY_IN_FORCE, head, head.version)
    if application.may_be_written and _predates_history(intended, head):
        return Finished(Verdict.UNKNOWN, head, 0, _conflict(head))
    return Finished(Verdict.CONFLICT, head, 0, _conflict(head))


def _resolve_not_accepted(application, row):
    if row == application.base and application.may_be_written:
        # The repeated write has the same condition, so at most one of the two takes effect.
        return _write_again(
            application, _undecided("a write was not answered and the head row is unchanged")
        )
    # The store refused the condition, so a head row that still meets it is a stale read.
    return _read_again(application, _undecided("the head row read is older than the one before"))


def _is_in_history(intended, head):
    return any(
        (entry.version, entry.digest, entry.operator, entry.accepted_at)
        == (intended.version, intended.digest, intended.operator, intended.accepted_at)
        for entry in head.history
    )


def _predates_history(intended, head):
    oldest = head.history[0].version if head.history else head.version
    return intended.version < oldest


def _write(application):
    return WriteHead(application.intended, application.base.etag)


def _write_again(application, failure):
    if application.writes < MAX_WRITES:
        return _write(application)
    return _give_up(application, failure)


def _read_again(application, failure):
    if application.reads < MAX_READS:
        return ReadHead()
    return _give_up(application, failure)


def _give_up(application, failure):
    if application.may_be_written:
        return Finished(Verdict.UNKNOWN, None, 0, failure)
    return Finished(Verdict.NOT_APPLIED, None, 0, failure)


def _undecided(message):
    return Failure(Code.STORE_TIMEOUT, message, "apply the same sheet again")


def _conflict(head):
    if head is None:
        return Failure(Code.PLAN_CONFLICT, "no plan is in force", "apply a whole sheet first")
    message = f"version {head.version} by {head.operator} is in force"
    remedy = "check it with plan show, then apply again to replace it"
    return Failure(Code.PLAN_CONFLICT, message, remedy)
