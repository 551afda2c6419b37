"""Latency, bandwidth and faults of the links between places."""

import random
import time

from attrs import Factory, define

from standins.faults import check_modes

BITS_PER_BYTE = 8
MS_PER_S = 1000
RETRANSMIT_S = 0.2  # delay of a TCP connection when a packet is lost
MODES = ("up", "cut", "freeze")


@define
class LinkFault:
    """A fault of the links that it matches; an empty name matches every place or target.

    Attributes
    ----------
    mode : str
        ``cut`` resets connections and refuses new ones; ``freeze`` delays all bytes until it ends.
    delay_ms : float
        Extra one-way delay.
    jitter_ms : float
        Upper bound of a random extra one-way delay.
    loss : float
        Probability that a chunk is lost and retransmitted.
    """

    from_place: str = ""
    to_place: str = ""
    target: str = ""
    mode: str = "up"
    delay_ms: float = 0
    jitter_ms: float = 0
    loss: float = 0

    def matches(self, from_place, to_place, target):
        """Return whether the fault affects bytes sent in this direction."""
        pairs = ((self.from_place, from_place), (self.to_place, to_place), (self.target, target))
        return all(not selected or selected == name for selected, name in pairs)


@define
class Delays:
    """One-way delays between places."""

    region_by_place: dict[str, str]
    place_delay_s: float
    region_delay_s: float

    @classmethod
    def from_config(cls, settings):
        """Create the delays from a stand-in's settings."""
        region_by_place = {
            place: region for region, places in settings["regions"].items() for place in places
        }
        place_delay_s = settings["place_delay_ms"] / MS_PER_S
        return cls(region_by_place, place_delay_s, settings["region_delay_ms"] / MS_PER_S)

    def between(self, from_place, to_place):
        """Return the one-way delay between two places in seconds."""
        if from_place == to_place:
            return 0.0
        from_region, to_region = self.regions(from_place, to_place)
        return self.place_delay_s if from_region == to_region else self.region_delay_s

    def regions(self, from_place, to_place):
        """Return the regions of two places; None for an unknown place."""
        return self.region_by_place.get(from_place), self.region_by_place.get(to_place)


@define
class Links:
    """All links; times are in seconds of the monotonic clock."""

    delays: Delays
    bits_per_s: float
    random: random.Random
    faults: list[LinkFault] = Factory(list)
    # Time at which the link between two regions has sent everything queued on it.
    free_at_by_regions: dict[tuple[str, str], float] = Factory(dict)
    bytes_by_regions: dict[tuple[str, str], int] = Factory(dict)

    @classmethod
    def from_config(cls, settings):
        """Create the links from the stand-in's settings."""
        source = random.Random(settings["seed"])
        return cls(Delays.from_config(settings), settings["bits_per_s"], source)

    def replace_faults(self, body):
        """Replace all faults with those of a control request."""
        faults = [LinkFault(**item) for item in body["faults"]]
        check_modes(faults, MODES)
        self.faults = faults

    def has_mode(self, mode, from_place, to_place, target):
        """Return whether a fault of this mode is active in this direction."""
        return any(
            fault.mode == mode and fault.matches(from_place, to_place, target)
            for fault in self.faults
        )

    def schedule_transfer(self, size, from_place, to_place, target):
        """Queue bytes on a link and return the time at which they arrive."""
        sent_at = self._reserve_link(size, self.delays.regions(from_place, to_place))
        arrives_at = sent_at + self.delays.between(from_place, to_place)
        for fault in self.faults:
            if fault.matches(from_place, to_place, target):
                arrives_at += fault.delay_ms / MS_PER_S
                arrives_at += self.random.random() * fault.jitter_ms / MS_PER_S
                arrives_at += RETRANSMIT_S if self.random.random() < fault.loss else 0
        return arrives_at

    def _reserve_link(self, size, regions):
        now = time.monotonic()
        if regions[0] == regions[1]:
            return now
        self.bytes_by_regions[regions] = self.bytes_by_regions.get(regions, 0) + size
        if not self.bits_per_s:
            return now
        free_at = max(now, self.free_at_by_regions.get(regions, 0.0))
        free_at += size * BITS_PER_BYTE / self.bits_per_s
        self.free_at_by_regions[regions] = free_at
        return free_at
