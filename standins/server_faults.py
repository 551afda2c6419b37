"""Faults of one backend server stand-in, which are set through the control port."""

import random

from attrs import define

from standins.faults import check_modes, consume_hit

# Points at which a connection can be reset, and ways to corrupt a response.
REQUEST_FAULTS = (
    "reset_before_head",
    "reset_mid_head",
    "reset_after_body",
    "reset_after_run",
    "reset_mid_answer",
    "short_answer",
    "wrong_length",
    "random_bytes",
    "huge_header",
    "endless_body",
)


@define
class RequestFault:
    """A fault that applies to a number of requests, or to each with a probability."""

    mode: str
    count: int | None = None
    probability: float = 1.0


class ServerFaults:
    """Active faults of one backend server.

    Attributes
    ----------
    slow_factor : float
        Factor applied to the duration of each run.
    is_frozen : bool
        Whether the server stops all work while its connections stay open.
    health, load : dict
        Fields that override the true ones in responses to probes.
    hits_by_mode : dict[str, int]
        Number of requests that each of ``REQUEST_FAULTS`` applied to.
    """

    def __init__(self, seed, hits_by_mode):
        self._random = random.Random(seed)
        self._request_faults = []
        self.slow_factor = 1.0
        self.is_frozen = False
        self.health = {}
        self.load = {}
        self.hits_by_mode = hits_by_mode

    def replace_requests(self, items):
        """Replace the faults that apply to single requests."""
        faults = [RequestFault(**item) for item in items]
        check_modes(faults, REQUEST_FAULTS)
        self._request_faults = faults

    def next_fault(self, *modes):
        """Return the mode of the fault that applies at this point, or an empty string."""
        for fault in self._request_faults:
            if fault.mode in modes and consume_hit(fault, self._random):
                self.hits_by_mode[fault.mode] = self.hits_by_mode.get(fault.mode, 0) + 1
                return fault.mode
        return ""
