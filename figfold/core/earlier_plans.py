"""Finds earlier plans under which requests may still be in progress, and their highest caps."""

from figfold.core.plan import decode_body

# How far the clocks of the instances that operators apply plans from may differ. Only acceptance
# times are compared with each other; the age of the newest plan comes from the store's clock.
OPERATOR_CLOCK_ERROR_S = 300.0


def recently_replaced_plans(head, newest_known_version, window_s):
    """Return the plans of the head row's history that were replaced within a time window.

    Parameters
    ----------
    head : PlanHead
    newest_known_version : int
        Plans up to and including this version are left out.
    window_s : float
        The longest time in seconds between the replacement of a plan and the acceptance of the
        newest one.

    Returns
    -------
    list[PlanAcceptance]
    """
    plans = (*head.history, head)
    return [
        entry
        for entry, successor in zip(plans, plans[1:], strict=False)
        if entry.version > newest_known_version
        and head.accepted_at - successor.accepted_at <= window_s + OPERATOR_CLOCK_ERROR_S
    ]


def highest_caps(bodies, place):
    """Return the highest cap of each service at a place across several plan bodies.

    Parameters
    ----------
    bodies : list[bytes]
    place : str

    Returns
    -------
    dict[str, int] or None
        None when a body is malformed.
    """
    cap_by_service = {}
    for body in bodies:
        decoded = decode_body(body)
        if decoded.is_err():
            return None
        for row in decoded.ok_value.rows:
            if row.place == place:
                known = cap_by_service.get(row.service, 0)
                cap_by_service[row.service] = max(known, row.cap)
    return cap_by_service
