"""Faults of the platform stand-in, which are set through its control port."""

import random

from attrs import Factory, define

MODES = ("slow", "silent", "down", "lose_answers", "garbage")


@define
class Fault:
    """A fault and the requests that it applies to; an empty list of names matches all.

    Attributes
    ----------
    mode : str
        One of ``MODES``.
    delay_ms : float
        Extra delay of ``slow``, half of it before the request takes effect and half after.
    status : int
        HTTP status of responses under ``down``; 0 resets the connection instead.
    count : int or None
        Number of requests that the fault still applies to; None for no limit.
    probability : float
        Probability that the fault applies to a matching request.
    kinds : list[str]
        Kinds of requests: ``table``, ``objects`` or ``instances``.
    """

    mode: str
    delay_ms: float = 0
    status: int = 0
    count: int | None = None
    probability: float = 1.0
    places: list[str] = Factory(list)
    entries: list[str] = Factory(list)
    kinds: list[str] = Factory(list)
    tables: list[str] = Factory(list)

    def matches(self, request):
        """Return whether this request is one that the fault applies to."""
        if self.mode == "lose_answers" and not request.is_write:
            return False
        pairs = (
            (self.places, request.place),
            (self.entries, request.entry),
            (self.kinds, request.kind),
            (self.tables, request.table),
        )
        return all(not names or name in names for names, name in pairs)


def check_modes(faults, modes):
    """Raise a ValueError if the mode of a fault is not one of ``modes``."""
    unknown = [fault.mode for fault in faults if fault.mode not in modes]
    if unknown:
        raise ValueError(f"unknown fault modes {unknown}")


def consume_hit(fault, random_source):
    """Return whether a fault applies to a matching request, and decrement its count if so.

    Parameters
    ----------
    fault : Fault or RequestFault
        The fault, whose ``count`` is decremented.
    random_source : random.Random
        Random random_source for faults with a probability below 1.
    """
    if fault.count == 0:
        return False
    if fault.probability < 1 and random_source.random() >= fault.probability:
        return False
    if fault.count is not None:
        fault.count -= 1
    return True


class FaultSet:
    """The active faults, with a seeded random random_source for those with a probability."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._faults = []
        self.hits_by_mode = dict.fromkeys(MODES, 0)

    def replace(self, body):
        """Replace all faults with those of a control request; mode ``up`` removes them."""
        items = body["faults"] if "faults" in body else [body]
        faults = [Fault(**item) for item in items if item["mode"] != "up"]
        check_modes(faults, MODES)
        self._faults = faults

    def next_fault(self, request):
        """Return the fault that applies to this request, or None, and count it."""
        for fault in self._faults:
            if fault.matches(request) and consume_hit(fault, self._random):
                self.hits_by_mode[fault.mode] += 1
                return fault
        return None

    def is_active(self, fault):
        """Return whether the fault is still active."""
        return any(other is fault for other in self._faults)
