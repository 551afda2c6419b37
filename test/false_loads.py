"""Makes entries report false loads to their peers."""

from attrs import evolve


def report_idle(loads):
    """Return the loads of an idle entry."""
    return tuple(evolve(load, in_progress=0, queued=0, room=1000) for load in loads)


def report_full(loads):
    """Return the loads of an entry without room."""
    return tuple(evolve(load, in_progress=99, queued=99, room=0) for load in loads)


def report_no_load(_loads):
    """Return no loads."""
    return ()


def repeat_first_report():
    """Return a function that always returns the loads of its first call."""
    first = []

    def change(loads):
        first.append(loads)
        return first[0]

    return change


def falsify_reports(peers, change, report_parts=None):
    """Make an entry report loads that ``change`` derives from the true ones.

    Parameters
    ----------
    peers : PeerGossip
    change : callable
        ``(loads) -> tuple[ServiceLoad, ...]``.
    report_parts : callable or None
        Returns the parts of a true report; None for those that the entry reports now.
    """
    true_parts = report_parts or peers.report_parts

    def false_parts(now):
        parts = true_parts(now)
        return {**parts, "loads": change(parts["loads"])}

    peers.report_parts = false_parts
