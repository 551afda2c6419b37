"""Plans before the one in force under which requests may still run."""

from figfold.core.plan import decode_body

# How far the clocks of two operators' instances may differ, in seconds. Times of acceptance are
# compared only with each other; how long ago the last one was, the store tells by its own clock.
OPERATOR_CLOCK_ERROR_S = 300.0


def earlier_entries(head, known_version, window_s):
    """Return what the head row remembers of plans that may still have been in use lately.

    Parameters
    ----------
    head : Head
    known_version : int
        Plans up to this version are left out.
    window_s : float
        How long before the acceptance of the head's plan a plan was replaced at most, in seconds.

    Returns
    -------
    list[AcceptedPlan]
    """
    plans = (*head.history, head)
    return [
        entry
        for entry, successor in zip(plans, plans[1:], strict=False)
        if entry.version > known_version
        and head.accepted_at - successor.accepted_at <= window_s + OPERATOR_CLOCK_ERROR_S
    ]


def highest_caps(bodies, place):
    """Return the highest cap of each service at a place in the bodies of some plans.

    Parameters
    ----------
    bodies : list[bytes]
    place : str

    Returns
    -------
    dict[str, int] or None
        None when a body is malformed.
    """
    highest_by_service = {}
    for body in bodies:
        decoded = decode_body(body)
        if decoded.is_err():
            return None
        for row in decoded.ok_value.rows:
            if row.place == place:
                known = highest_by_service.get(row.service, 0)
                highest_by_service[row.service] = max(known, row.cap)
    return highest_by_service
