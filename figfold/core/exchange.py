"""What an entry says of itself to its peers, and what to do about what they say."""

from attrs import evolve, frozen

from figfold.core.model import SharedStrike

# The most items of each list in one report.
MAX_LOADS = 256
MAX_QUARANTINED = 256
MAX_LEAVING_SERVERS = 512
MAX_STRIKES = 64
MAX_KNOWN_ENTRIES = 64

# Longest time that a request is taken to have been on its way. Were it taken as fresh, entries
# that tell each other of a quarantined fingerprint would prolong it without end.
REQUEST_AGE_S = 1.0


@frozen
class FetchPlan:
    """Fetch a later plan from the peer that has it."""

    version: int
    digest: str
    peer: str
    peer_address: str


@frozen
class MarkServersLeaving:
    """Give these backend servers no new work: a peer has seen them leaving."""

    servers: tuple[str, ...]
    peer: str


@frozen
class QuarantineFingerprint:
    """Dispatch no request with this fingerprint for ``expires_in_s`` from now."""

    fingerprint: str
    expires_in_s: float
    peer: str


@frozen
class TakeStrikes:
    """Count these crashes as if they had been seen here; their ages are of now."""

    strikes: tuple[SharedStrike, ...]
    peer: str


@frozen
class ReportPlanMismatch:
    """Tell the operators: a peer has another plan under the version in force here."""

    version: int
    digest: str
    peer: str


def build_report(identity, confirmation, now_s, **parts):
    """Return the entry's own report, cut to the limits of a message.

    Parameters
    ----------
    identity : EntryReport
        Carries the names, addresses and the incarnation, which never change.
    confirmation : Confirmation
    now_s : float
    **parts
        The fields of `EntryReport` that change: ``leaving``, ``plan_digest``, ``loads``,
        ``quarantined``, ``strikes`` and ``leaving_servers``, the most urgent items first.
        Leaving servers are those that this entry has seen itself, or peers would keep each
        other's word alive.

    Returns
    -------
    EntryReport
    """
    report = evolve(
        identity,
        plan_version=confirmation.version,
        store_age_s=confirmation.store_age_s(now_s),
        **parts,
    )
    return evolve(
        report,
        loads=tuple(report.loads[:MAX_LOADS]),
        quarantined=tuple(report.quarantined[:MAX_QUARANTINED]),
        leaving_servers=tuple(report.leaving_servers[:MAX_LEAVING_SERVERS]),
        strikes=tuple(report.strikes[:MAX_STRIKES]),
    )


def merge_report(report, known_entries, membership, confirmation, now_s, asked_at_s=None):
    """Take a peer's report into membership and confirmation; return what to do next.

    Parameters
    ----------
    report : EntryReport
    known_entries : tuple[KnownEntry, ...]
    membership : Membership
    confirmation : Confirmation
    now_s : float
    asked_at_s : float or None
        When the request was sent that this report answers; None for a report that came in a
        request, whose age is unknown.

    Returns
    -------
    list
        `FetchPlan`, `ReportPlanMismatch`, `MarkServersLeaving`, `TakeStrikes` and
        `QuarantineFingerprint` actions.
    """
    if not membership.record_report(report, now_s, asked_at_s):
        return []
    membership.add_known_entries(known_entries, now_s)
    confirmation.peer_report(report, asked_at_s, now_s)
    actions = _plan_actions(report, membership, confirmation)
    if report.leaving_servers:
        actions.append(MarkServersLeaving(report.leaving_servers, report.name))
    age_s = REQUEST_AGE_S if asked_at_s is None else now_s - asked_at_s
    if report.strikes:
        actions.append(TakeStrikes(_aged(report.strikes, age_s), report.name))
    for request in report.quarantined:
        expires_in_s = request.expires_in_s - age_s
        if expires_in_s > 0:
            actions.append(QuarantineFingerprint(request.fingerprint, expires_in_s, report.name))
    return actions


def _aged(strikes, age_s):
    return tuple(evolve(strike, age_s=strike.age_s + age_s) for strike in strikes)


def _plan_actions(report, membership, confirmation):
    if report.plan_version > confirmation.version:
        return [
            FetchPlan(report.plan_version, report.plan_digest, report.name, report.peer_address)
        ]
    own = membership.own
    same_version = report.plan_version == confirmation.version == own.plan_version
    if same_version and report.plan_digest != own.plan_digest:
        return [ReportPlanMismatch(report.plan_version, report.plan_digest, report.name)]
    return []
