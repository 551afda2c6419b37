"""Limits new requests after a cap was lowered, until requests under the old cap have ended.

Requests in progress continue when a cap is lowered. If an entry filled its share of the new cap
at once, the place could exceed that cap together with the requests that its other entries still
run under the old one. The same holds for plans that were in force elsewhere and that this entry
never had.
"""

from math import inf

from attrs import Factory, define, evolve, frozen

# Assumed for a cap that is not known yet, in requests; above every cap that a sheet may have.
UNKNOWN_CAP = 10**12
# Marks an entry whose reports are ignored; no process has this incarnation.
NO_INCARNATION = -1


@frozen
class LoweredCap:
    """A cap that was lowered recently.

    Attributes
    ----------
    cap_before : int
        Highest cap under which requests in progress may have been dispatched.
    version : int
        Version of the plan that lowered the cap.
    until_s : float
        When all requests that were dispatched under a higher cap have ended.
    incarnation_by_peer : dict[str, int]
        Processes of the place's other entries that may have dispatched such requests.
    started_by_ms : float
        Latest incarnation whose reports count, infinity for all. A process that started later
        does not know the requests that its predecessor may have left in progress.
    """

    cap_before: int
    version: int
    until_s: float
    incarnation_by_peer: dict[str, int]
    started_by_ms: float = inf

    def quota(self, service, cap, quota, quota_before, place_peers):
        """Return the quota of an entry of the place for a service, in requests.

        Parameters
        ----------
        service : str
        cap : int
        quota, quota_before : int
            Quota of the entry's seat parts under the cap, and under ``cap_before``.
        place_peers : list[Entry]
            The other entries of the place.
        """
        others = self.cap_before - quota_before
        if self._is_reported(service, place_peers):
            reported = [peer.load_by_service[service].in_progress for peer in place_peers]
            others = _most_in_progress(cap - quota, reported)
        return max(0, min(quota, cap - others))

    def _is_reported(self, service, place_peers):
        """Return whether all these processes have reported their load under the new plan."""
        incarnation_by_name = {peer.name: peer.incarnation for peer in place_peers}
        same = self.incarnation_by_peer.items() <= incarnation_by_name.items()
        # An entry that has just started may not know the place's other entries yet.
        knows_peers = bool(place_peers) or self.started_by_ms == inf
        return (
            same and knows_peers and all(self._has_reported(service, peer) for peer in place_peers)
        )

    def _has_reported(self, service, peer):
        is_current = peer.plan_version >= self.version and service in peer.load_by_service
        return is_current and peer.incarnation <= self.started_by_ms


@define
class LoweredCaps:
    """Caps of one place by service, and which of them were lowered recently.

    Attributes
    ----------
    known_version : int
        All caps of plans up to this version that may still be in use are known; zero at first.
    assumed_by_service : dict[str, LoweredCap]
        Assumed for caps that were in force elsewhere and that are not known yet.
    """

    cap_by_service: dict[str, int] = Factory(dict)
    lowered_by_service: dict[str, LoweredCap] = Factory(dict)
    known_version: int = 0
    assumed_by_service: dict[str, LoweredCap] = Factory(dict)

    def set_plan_caps(
        self, version, cap_by_service, max_remaining_s_by_service, place_peers, now_s
    ):
        """Replace the caps by those of a plan that comes into force, and record which are lower.

        Parameters
        ----------
        version : int
        cap_by_service : dict[str, int]
        max_remaining_s_by_service : dict[str, float]
            How long requests that other entries dispatch under an earlier plan may still run, in
            seconds from now.
        place_peers : list[Entry]
            The other entries of the place.
        now_s : float
        """
        for service, cap in cap_by_service.items():
            cap_before = self.cap_by_service.get(service, cap)
            if cap < cap_before:
                max_remaining_s = max_remaining_s_by_service[service]
                incarnation_by_peer = _incarnation_by_peer(place_peers, now_s - max_remaining_s)
                lowered = LoweredCap(
                    cap_before, version, now_s + max_remaining_s, incarnation_by_peer
                )
                self._lower(service, lowered, now_s)
        self.cap_by_service = dict(cap_by_service)

    def assume_earlier_caps(self, version, until_by_service, place_peers, since_s, started_by_ms):
        """Treat each cap as lowered until the caps of earlier plans are known.

        Parameters
        ----------
        version : int
            Version of the plan in force.
        until_by_service : dict[str, float]
            When all requests that were dispatched under an earlier plan have ended.
        place_peers : list[Entry]
            The other entries of the place.
        since_s : float
            All requests that were dispatched before this time have ended.
        started_by_ms : float
            See `LoweredCap`. It is used only right after the start of this entry, when earlier
            incarnations of the other entries are not known and can not be compared.
        """
        known = _incarnation_by_peer(place_peers, since_s) if self.known_version else {}
        started_by_ms = inf if self.known_version else started_by_ms
        self.assumed_by_service = {
            service: LoweredCap(UNKNOWN_CAP, version, until_s, known, started_by_ms)
            for service, until_s in until_by_service.items()
        }

    def resolve_earlier_caps(self, version, max_cap_by_service, until_by_service, now_s):
        """Replace the assumptions of `assume_earlier_caps` by the highest caps of those plans."""
        for service, assumed in self.assumed_by_service.items():
            highest = max_cap_by_service.get(service, 0)
            until_s = until_by_service.get(service, now_s)
            if highest > self.cap_by_service[service] and now_s < until_s:
                lowered = evolve(assumed, cap_before=highest, until_s=until_s)
                self._lower(service, lowered, now_s)
        self.assumed_by_service = {}
        self.known_version = version

    def find_active(self, service, now_s):
        """Return the lowered caps of a service that still limit it, the highest one last."""
        both = (self.lowered_by_service.get(service), self.assumed_by_service.get(service))
        return [lowered for lowered in both if lowered is not None and now_s < lowered.until_s]

    def _lower(self, service, lowered, now_s):
        known = self.lowered_by_service.get(service)
        if known is not None and now_s < known.until_s:
            lowered = evolve(
                lowered,
                cap_before=max(lowered.cap_before, known.cap_before),
                until_s=max(lowered.until_s, known.until_s),
                incarnation_by_peer=known.incarnation_by_peer | lowered.incarnation_by_peer,
                started_by_ms=min(lowered.started_by_ms, known.started_by_ms),
            )
        self.lowered_by_service[service] = lowered


def _incarnation_by_peer(place_peers, since_s):
    """Return the incarnations of the other entries, by name.

    An entry whose process was replaced since then gets `NO_INCARNATION`, as the new process does
    not know the requests that the former one left in progress.
    """
    incarnation_by_peer = {peer.name: peer.incarnation for peer in place_peers}
    for peer in place_peers:
        if peer.replaced_at is not None and peer.replaced_at >= since_s:
            incarnation_by_peer[peer.name] = NO_INCARNATION
    return incarnation_by_peer


def _most_in_progress(quota, reported):
    """Return the most requests that other entries may have in progress.

    Each entry has at most the larger of its reported number and its share of ``quota``. The sum
    is highest when the entry with the fewest requests in progress has all of the quota.
    """
    least = min(reported, default=0)
    return sum(reported) - least + max(quota, least)
