"""Builds this entry's own report and derives the actions that follow from a peer's report."""

from attrs import evolve, frozen

from figfold.core.model import ReportedStrike

# Limits of the lists in one report.
MAX_LOADS = 256
MAX_QUARANTINED = 256
MAX_LEAVING_SERVERS = 512
MAX_STRIKES = 64
MAX_KNOWN_ENTRIES = 64

# Age assumed for a report that comes as a request, whose transit time is unknown. With an age of
# zero, entries that report a quarantined fingerprint to each other would extend it without end.
ASSUMED_REQUEST_AGE_S = 1.0


@frozen
class FetchPlan:
    """Action: fetch a later plan from the peer that has it."""

    version: int
    digest: str
    peer: str
    peer_address: str


@frozen
class MarkServersLeaving:
    """Action: send no new work to backend servers that a peer has seen leaving."""

    servers: tuple[str, ...]
    peer: str


@frozen
class QuarantineFingerprint:
    """Action: quarantine requests with this fingerprint for ``expires_in_s`` from now."""

    fingerprint: str
    expires_in_s: float
    peer: str


@frozen
class MergeReportedStrikes:
    """Action: merge a peer's strikes, whose ages now include the time in transit."""

    strikes: tuple[ReportedStrike, ...]
    peer: str


@frozen
class ReportPlanMismatch:
    """Action: log that a peer has a different plan under the version in force here."""

    version: int
    digest: str
    peer: str


def build_report(identity, confirmation, now_s, **parts):
    """Return this entry's own report, with its lists cut to the limits of a message.

    Parameters
    ----------
    identity : EntryReport
        The fields that never change: names, addresses and the incarnation.
    confirmation : ConfirmationTracker
    now_s : float
    **parts
        The fields of `EntryReport` that change: ``leaving``, ``plan_digest``, ``loads``,
        ``quarantined``, ``strikes`` and ``leaving_servers``, the most urgent items first.
        Only servers that this entry itself has seen leaving belong there; otherwise peers would
        keep repeating each other's reports.

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


def apply_peer_report(
    report, known_entries, membership, confirmation, now_s, request_sent_at_s=None
):
    """Update membership and confirmation from a peer's report and return the actions to take.

    Parameters
    ----------
    report : EntryReport
    known_entries : tuple[KnownEntry, ...]
    membership : Membership
    confirmation : ConfirmationTracker
    now_s : float
    request_sent_at_s : float or None
        When the request was sent to which this report is the reply; None for a report that came
        as a request, whose age is unknown.

    Returns
    -------
    list
        `FetchPlan`, `ReportPlanMismatch`, `MarkServersLeaving`, `MergeReportedStrikes` and
        `QuarantineFingerprint` actions.
    """
    if not membership.record_report(report, now_s, request_sent_at_s):
        return []
    membership.add_known_entries(known_entries, now_s)
    confirmation.record_peer_report(report, request_sent_at_s, now_s)
    actions = _plan_actions(report, membership, confirmation)
    if report.leaving_servers:
        actions.append(MarkServersLeaving(report.leaving_servers, report.name))
    age_s = ASSUMED_REQUEST_AGE_S if request_sent_at_s is None else now_s - request_sent_at_s
    if report.strikes:
        actions.append(MergeReportedStrikes(_with_added_age(report.strikes, age_s), report.name))
    for request in report.quarantined:
        expires_in_s = request.expires_in_s - age_s
        if expires_in_s > 0:
            actions.append(QuarantineFingerprint(request.fingerprint, expires_in_s, report.name))
    return actions


def _with_added_age(strikes, age_s):
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
