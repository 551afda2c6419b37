"""State of the single entries that a membership knows, and the membership's settings."""

from attrs import Factory, define, frozen

from figfold.core.model import ServiceLoad


@frozen
class KnownEntry:
    """An entry known to the sender of a report.

    Attributes
    ----------
    heard_age_ms : int
        Time since the sender heard from it, or since it has been in its state.
    state, revision : int
        Its `EntryState` and the revision of itself for which this holds; no revision states only
        that it exists.
    """

    name: str
    place: str
    incarnation: int
    heard_age_ms: int
    peer_address: str = ""
    address: str = ""
    state: int = 0
    revision: int = 0


@frozen
class MembershipSettings:
    """Intervals and time limits of a membership.

    Attributes
    ----------
    tick_s : float
        Seconds between two rounds of contacts.
    suspect_after_s : float
        Seconds of silence after which an entry no longer counts as live.
    start_grace_s : float
        Seconds for which a listed entry counts as live before it is first heard.
    load_fresh_s : float
        Seconds after which a reported load is no longer used.
    forget_after_s : float
        Seconds of silence after which an entry that is no longer listed is removed.
    fanout : int
        The fewest entries of other places to contact in each round.
    """

    tick_s: float = 1.0
    suspect_after_s: float = 3.0
    start_grace_s: float = 5.0
    load_fresh_s: float = 3.0
    forget_after_s: float = 120.0
    fanout: int = 5


@define
class Entry:
    """The state of one known entry; times are monotonic seconds, None for never.

    Attributes
    ----------
    heard_at : float or None
        When the current incarnation was last heard directly.
    contact_at : float or None
        The latest time at which the entry provably was in contact.
    was_heard : bool
        Whether any incarnation was ever heard directly.
    replaced_at : float or None
        When the entry was first heard under its current incarnation, if it had another before.
    listed_since : float or None
        When the entry appeared on the platform's list; None while it is not listed.
    listed_address, listed_peer_address : str
        Addresses on the platform's list. The platform lists the addresses that are reachable
        from the reading place, so they take precedence over those that the entry reports.
    listed_address_is_stale : bool
        Whether the entry has reported a new address that the list does not show yet.
    """

    name: str
    place: str
    known_since: float
    incarnation: int = 0
    address: str = ""
    peer_address: str = ""
    admin_address: str = ""
    reported_leaving: bool = False
    listed_leaving: bool = False
    plan_version: int = 0
    load_by_service: dict[str, ServiceLoad] = Factory(dict)
    heard_at: float | None = None
    contact_at: float | None = None
    was_heard: bool = False
    replaced_at: float | None = None
    listed_since: float | None = None
    listed_address: str = ""
    listed_peer_address: str = ""
    reported_peer_address: str = ""
    listed_address_is_stale: bool = False

    @property
    def reach_address(self):
        """The address to which this place sends callers' requests for the entry."""
        return self.address if self.listed_address_is_stale else self.listed_address or self.address

    @property
    def reach_peer_address(self):
        """The address to which this place sends peer messages for the entry."""
        return (
            self.peer_address
            if self.listed_address_is_stale
            else self.listed_peer_address or self.peer_address
        )

    @property
    def leaving(self):
        """Whether the entry or the platform reports that it is leaving."""
        return self.reported_leaving or self.listed_leaving

    def heard_within(self, now_s, window_s):
        """Return whether the entry was heard directly in the last ``window_s`` seconds."""
        return self.heard_at is not None and now_s - self.heard_at < window_s
