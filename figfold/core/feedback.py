"""What the end of an attempt tells about its server, its class of requests and its request."""

from figfold.core.servers import RESET_OUTCOMES, DispatchOutcome, was_hurried


def record_feedback(attempt, report, servers, classes, quarantine, now_s):
    """Record the end of an attempt with everything that learns from it.

    Parameters
    ----------
    attempt : Attempt
        The attempt that ended.
    report : DispatchReport
        How it ended.
    servers : Servers
        Learns how quick and how reliable the server is.
    classes : RequestClasses
        Learns how long requests of the class take, from servers that are not slow.
    quarantine : Quarantine
        Learns whether the request was on board when a server crashed.
    now_s : float
        The time now.
    """
    # The server's record comes first: it decides whether the server is slow.
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
        if report.fresh_connection and was_hurried(report, attempt.expected_s):
            classes.record_hurried(class_key, report.duration_s)


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
        quarantine.record_refused(server, now_s)
