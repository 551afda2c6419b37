"""Passes the result of an attempt to the state of its server, request class and quarantine."""

from figfold.core.servers import RESET_OUTCOMES, DispatchOutcome, had_short_timeout


def record_feedback(attempt, report, servers, classes, quarantine, now_s):
    """Record the end of an attempt in all states that depend on it.

    Parameters
    ----------
    attempt : Attempt
        The attempt that ended.
    report : DispatchReport
        How it ended.
    servers : Servers
        Tracks the latency and the failures of servers.
    classes : RequestClasses
        Tracks the durations of request classes, at servers that are not slow.
    quarantine : Quarantine
        Tracks the requests that were in progress at crashes of servers.
    now_s : float
        Current time.
    """
    # The server is updated first, as this decides whether it counts as slow below.
    servers.record_end(attempt.server, report, attempt.expected_s, now_s)
    _record_duration(attempt, report, classes)
    _record_health(attempt, report, quarantine, now_s)


def _record_duration(attempt, report, classes):
    class_key = attempt.tracked.request.class_key
    is_slow = attempt.server.is_slow
    if report.outcome is DispatchOutcome.OK and not is_slow:
        classes.record(class_key, report.duration_s)
    elif report.outcome is DispatchOutcome.CANCELLED and not is_slow:
        classes.record_cancelled(class_key, report.duration_s)
    elif report.outcome is DispatchOutcome.TIMED_OUT:
        if report.fresh_connection and had_short_timeout(report, attempt.expected_s):
            classes.record_short_timeout(class_key, report.duration_s)


def _record_health(attempt, report, quarantine, now_s):
    fingerprint = attempt.tracked.request.fingerprint
    server = attempt.server.name
    if report.outcome is DispatchOutcome.OK:
        quarantine.record_success(fingerprint, now_s, server)
    elif report.outcome is DispatchOutcome.CRASHED:
        quarantine.record_crash(server, fingerprint, now_s)
    elif report.outcome in RESET_OUTCOMES:
        quarantine.record_reset(server, fingerprint, report.fresh_connection, now_s)
    elif report.outcome is DispatchOutcome.CONNECT_FAILED:
        quarantine.record_connect_refused(server, now_s)
