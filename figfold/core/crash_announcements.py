"""Rate limit and recipients of announcements of backend server crashes to other entries."""

from attrs import define

# Announcements that may be sent without a delay.
ANNOUNCEMENT_BURST = 4
# Beyond the burst, one announcement for all crashes within this time. The regular reports carry
# the rest, and each report is large when all servers fail.
ANNOUNCEMENT_INTERVAL_S = 1.0
# Recipients of one announcement: all other entries of a deployment of twelve.
MAX_RECIPIENTS = 11


@define
class AnnouncementLimiter:
    """Rate limiter: a burst of announcements, then one per `ANNOUNCEMENT_INTERVAL_S`."""

    _refilled_at_s: float = float("-inf")

    def reserve(self, now_s):
        """Reserve one announcement and return its delay, in seconds."""
        refilled_at_s = max(self._refilled_at_s, now_s)
        self._refilled_at_s = refilled_at_s + ANNOUNCEMENT_INTERVAL_S
        return max(0.0, self._refilled_at_s - ANNOUNCEMENT_BURST * ANNOUNCEMENT_INTERVAL_S - now_s)


def crash_announcement_recipients(membership, sample):
    """Return the entries to which a crash is announced: those of the own place, then some others.

    Parameters
    ----------
    membership : Membership
    sample : callable
        ``(entries, count) -> list[Entry]``, a random sample of the entries.

    Returns
    -------
    list[Entry]
    """
    known = [one for _, one in sorted(membership.entry_by_name.items()) if one.reach_peer_address]
    own_place = [one for one in known if one.place == membership.own.place][:MAX_RECIPIENTS]
    others = [one for one in known if one.place != membership.own.place]
    return own_place + sample(others, min(MAX_RECIPIENTS - len(own_place), len(others)))
