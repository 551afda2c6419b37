"""Encoding and checked decoding of stored plans, differences of plans, and the plan in force."""

from hashlib import sha256
from json import dumps, loads
from math import isfinite

from attrs import asdict, frozen
from result import Err, Ok, Result

from figfold.core.codes import Code, Failure
from figfold.core.model import FULL_SHARE, Plan, PlanRow

BODY_FORMAT = 1
HISTORY_LIMIT = 50
DIGEST_LENGTH = 64


class MalformedError(ValueError):
    """Stored content is malformed; raised and caught in this module only."""


@frozen
class PlanContent:
    """The decoded body of a plan."""

    rows: tuple[PlanRow, ...]
    demand_by_region: dict[str, float]


@frozen
class PlanAcceptance:
    """The acceptance of one plan: its version and digest, who applied it, and the Unix time."""

    version: int
    digest: str
    operator: str
    accepted_at: float


@frozen
class PlanHead:
    """The decoded value of the head row, which names the accepted plan and its predecessors.

    Attributes
    ----------
    accepted_at : float
        Unix time of acceptance in seconds.
    history : tuple[PlanAcceptance, ...]
        Acceptances of up to ``HISTORY_LIMIT`` earlier plans, oldest first.
    """

    version: int
    digest: str
    operator: str
    accepted_at: float
    history: tuple[PlanAcceptance, ...] = ()


@frozen
class RowChange:
    """A row that differs between two plans; the values of an absent row are None."""

    service: str
    place: str
    share_before: int | None
    share_after: int | None
    cap_before: int | None
    cap_after: int | None
    emptying_before: bool | None
    emptying_after: bool | None


# Checked reading of JSON.


def _unique_object(pairs):
    """Build a JSON object, refusing duplicate member names."""
    value_by_name = dict(pairs)
    if len(value_by_name) != len(pairs):
        raise MalformedError("a member occurs twice")
    return value_by_name


def _refuse_constant(name):
    raise MalformedError(f"{name} is not a number")


def _parse(data):
    try:
        return loads(
            data.decode("utf-8"),
            object_pairs_hook=_unique_object,
            parse_constant=_refuse_constant,
        )
    except RecursionError:
        raise MalformedError("nested too deeply") from None


def _require_members(value, names):
    """Return the values of an object that has exactly these members."""
    if type(value) is not dict or set(value) != set(names):
        raise MalformedError(f"expected an object with {', '.join(names)}")
    return [value[name] for name in names]


def _require_type(value, kind):
    # ``isinstance`` would accept a boolean as an integer.
    if type(value) is not kind:
        raise MalformedError(f"expected {kind.__name__}, found {type(value).__name__}")
    return value


def _require_text(value):
    text = _require_type(value, str)
    if not text:
        raise MalformedError("a name is empty")
    return text


def _require_int(value, low, high=None):
    number = _require_type(value, int)
    if number < low or (high is not None and number > high):
        raise MalformedError(f"{number} is out of range")
    return number


def _require_finite(value):
    number = _require_type(value, float)
    if not isfinite(number):
        raise MalformedError("a number is not finite")
    return number


def _require_optional_time(value):
    return None if value is None else _require_finite(value)


def _require_digest(value):
    text = _require_type(value, str)
    if len(text) != DIGEST_LENGTH or text.strip("0123456789abcdef"):
        raise MalformedError("a digest is malformed")
    return text


def _decode_checked(read, data, what):
    """Parse the data, apply ``read`` to it and return malformed content as a failure."""
    try:
        return Ok(read(_parse(data)))
    except ValueError as error:
        return Err(_corrupt(f"the stored {what} is malformed: {error}"))


def _corrupt(message):
    return Failure(Code.PLAN_CORRUPT, message, "apply the sheet again")


def _canonical(value):
    text = dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return text.encode("ascii")


# Plan body.

_ROW_FIELDS = ("service", "place", "share", "cap", "emptying", "empty_from", "empty_until")
_BODY_FIELDS = ("format", "rows", "demand_by_region")


def _row_record(row):
    record = asdict(row)
    for name in ("empty_from", "empty_until"):
        if record[name] is not None:
            record[name] = float(record[name])
    return record


def encode_body(rows, demand_by_region):
    """Return a plan as canonical JSON, so that equal plans give equal bytes.

    Parameters
    ----------
    rows : iterable of PlanRow
        All rows, in any order.
    demand_by_region : dict[str, float]
        Expected percentage of the callers in each region.

    Returns
    -------
    bytes
        The content of the plan's object in the store.
    """
    ordered = sorted(rows, key=lambda row: (row.service, row.place))
    demand = {region: float(percent) for region, percent in demand_by_region.items()}
    records = [_row_record(row) for row in ordered]
    return _canonical({"format": BODY_FORMAT, "rows": records, "demand_by_region": demand})


def body_digest(body):
    """Return the SHA-256 of a plan's body in hexadecimal."""
    return sha256(body).hexdigest()


def _read_row(value):
    service, place, share, cap, emptying, start, end = _require_members(value, _ROW_FIELDS)
    row = PlanRow(
        service=_require_text(service),
        place=_require_text(place),
        share=_require_int(share, 0, FULL_SHARE),
        cap=_require_int(cap, 0),
        emptying=_require_type(emptying, bool),
        empty_from=_require_optional_time(start),
        empty_until=_require_optional_time(end),
    )
    timed = row.empty_from is not None or row.empty_until is not None
    if timed and not row.emptying:
        raise MalformedError("a serving row has times")
    if None not in (row.empty_from, row.empty_until) and row.empty_from >= row.empty_until:
        raise MalformedError("an emptying ends before it starts")
    return row


def _read_demand(value):
    demand_by_region = {}
    for region, percent in _require_type(value, dict).items():
        demand_by_region[_require_text(region)] = _require_finite(percent)
    if any(percent < 0 for percent in demand_by_region.values()):
        raise MalformedError("a demand is negative")
    return demand_by_region


def _read_body(value):
    format_version, records, demand = _require_members(value, _BODY_FIELDS)
    _require_int(format_version, BODY_FORMAT, BODY_FORMAT)
    rows = tuple(_read_row(record) for record in _require_type(records, list))
    if len({(row.service, row.place) for row in rows}) != len(rows):
        raise MalformedError("a row occurs twice")
    return PlanContent(rows, _read_demand(demand))


def decode_body(body: bytes) -> Result[PlanContent, Failure]:
    """Decode a plan's body, refusing content that is not canonical."""
    decoded = _decode_checked(_read_body, body, "plan")
    if decoded.is_err():
        return decoded
    content = decoded.ok_value
    if encode_body(content.rows, content.demand_by_region) != body:
        return Err(_corrupt("the stored plan is not in canonical form"))
    return decoded


# Head row.

_ACCEPTANCE_FIELDS = ("version", "digest", "operator", "accepted_at")
_HEAD_FIELDS = (*_ACCEPTANCE_FIELDS, "history")


def encode_head(head):
    """Return the head row's value as JSON bytes."""
    return _canonical(asdict(head))


def _read_acceptance(value):
    version, digest, operator, accepted_at = _require_members(value, _ACCEPTANCE_FIELDS)
    return PlanAcceptance(
        _require_int(version, 1),
        _require_digest(digest),
        _require_type(operator, str),
        _require_finite(accepted_at),
    )


def _read_head(value):
    version, digest, operator, accepted_at, history = _require_members(value, _HEAD_FIELDS)
    entries = tuple(_read_acceptance(entry) for entry in _require_type(history, list))
    head = PlanHead(
        _require_int(version, 1),
        _require_digest(digest),
        _require_type(operator, str),
        _require_finite(accepted_at),
        entries,
    )
    versions = [entry.version for entry in entries] + [head.version]
    if any(later <= earlier for earlier, later in zip(versions, versions[1:], strict=False)):
        raise MalformedError("versions do not rise")
    if len(entries) > HISTORY_LIMIT:
        raise MalformedError("the history is too long")
    return head


def decode_head(data: bytes) -> Result[PlanHead, Failure]:
    """Decode the head row's value."""
    return _decode_checked(_read_head, data, "head row")


def next_head(head, digest, operator, now):
    """Return the head that accepts a plan as the successor of ``head``.

    Parameters
    ----------
    head : PlanHead or None
        The head as it was read; None when the plan is the first one.
    digest, operator : str
        Digest of the accepted body, and who applied it.
    now : float
        Unix time in seconds.
    """
    if head is None:
        return PlanHead(1, digest, operator, float(now))
    entry = PlanAcceptance(head.version, head.digest, head.operator, head.accepted_at)
    history = (*head.history, entry)[-HISTORY_LIMIT:]
    return PlanHead(head.version + 1, digest, operator, float(now), history)


# Plans and their differences.


def make_plan(head, body: bytes) -> Result[Plan, Failure]:
    """Return the plan of a head row and a stored body, whose digest must be the one it names."""
    if body_digest(body) != head.digest:
        return Err(_corrupt("the stored plan does not have the digest that the head row names"))
    decoded = decode_body(body)
    if decoded.is_err():
        return decoded
    content = decoded.ok_value
    return Ok(
        Plan(
            version=head.version,
            digest=head.digest,
            row_by_key={(row.service, row.place): row for row in content.rows},
            demand_by_region=content.demand_by_region,
            operator=head.operator,
            accepted_at=head.accepted_at,
        )
    )


def diff_plans(old, new):
    """Return the rows that differ between two plans, in order of service and place."""
    before_by_key = old.row_by_key if old else {}
    changes = []
    for key in sorted(before_by_key.keys() | new.row_by_key.keys()):
        before = before_by_key.get(key)
        after = new.row_by_key.get(key)
        if before != after:
            changes.append(_change(key, before, after))
    return tuple(changes)


def _change(key, before, after):
    return RowChange(
        *key,
        before and before.share,
        after and after.share,
        before and before.cap,
        after and after.cap,
        before and before.emptying,
        after and after.emptying,
    )


class PlanInForce:
    """The plan in force at this process, which only a plan of a higher version replaces.

    Attributes
    ----------
    plan : Plan or None
        The plan in force.
    refused_lower, refused_conflict : int
        Number of offers refused for a lower version, and for a different digest under the same
        version.
    """

    def __init__(self):
        self.plan = None
        self.refused_lower = 0
        self.refused_conflict = 0

    def offer(self, plan):
        """Put a plan of a strictly higher version in force; return whether that was done."""
        if self.plan is None or plan.version > self.plan.version:
            self.plan = plan
            return True
        if plan.version < self.plan.version:
            self.refused_lower += 1
        elif plan.digest != self.plan.digest:
            self.refused_conflict += 1
        return False
