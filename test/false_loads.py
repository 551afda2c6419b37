"""Loads that entries tell although they are not so."""

from attrs import evolve


def boast(loads):
    """Return loads of an entry that has nothing to do."""
    return tuple(evolve(load, in_progress=0, queued=0, room=1000) for load in loads)


def hide(loads):
    """Return loads of an entry that has no room at all."""
    return tuple(evolve(load, in_progress=99, queued=99, room=0) for load in loads)


def keep_silent(_loads):
    """Return no loads."""
    return ()


def repeat_first():
    """Return a function that tells the first loads for ever."""
    first = []

    def change(loads):
        first.append(loads)
        return first[0]

    return change


def falsify(peers, change, report_parts=None):
    """Let an entry tell loads that a function makes of the true ones.

    Parameters
    ----------
    peers : PeerGossip
    change : callable
        ``(loads) -> tuple[ServiceLoad, ...]``.
    report_parts : callable or None
        Gives the parts of a true report; None for what the entry tells now.
    """
    true_parts = report_parts or peers.report_parts

    def false_parts(now):
        parts = true_parts(now)
        return {**parts, "loads": change(parts["loads"])}

    peers.report_parts = false_parts
