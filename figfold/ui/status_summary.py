"""Summarizes the entries' status by place: loads and caps, and emptyings.

Entries may run other releases, so invalid fields of a status count as missing.
"""

from attrs import define, frozen

from figfold.ui.plans import format_time

LOAD_COLUMNS = ("service", "place", "in progress", "queued", "permits", "cap")
EMPTYING_COLUMNS = ("place", "services", "state", "from", "until")


@define
class PlaceLoad:
    """Load of a service at a place, summed over the place's entries, and its cap."""

    service: str
    place: str
    in_progress: int = 0
    queued: int = 0
    quota: int = 0
    cap: int = 0

    def add(self, load):
        """Add the load that one entry reports; the cap is the highest reported one."""
        self.in_progress += _number(load.get("in_progress")) or 0
        self.queued += _number(load.get("queued")) or 0
        self.quota += _number(load.get("quota")) or 0
        self.cap = max(self.cap, _number(load.get("cap")) or 0)

    def cells(self):
        """Return the cells of a table row, in the order of ``LOAD_COLUMNS``."""
        return self.service, self.place, self.in_progress, self.queued, self.quota, self.cap


@frozen
class Emptying:
    """Services that are emptied at a place in the same time range, in Unix time in seconds."""

    place: str
    services: tuple[str, ...]
    is_emptying: bool
    empty_from: float | None
    empty_until: float | None

    def cells(self):
        """Return the cells of a table row, in the order of ``EMPTYING_COLUMNS``."""
        state = "emptying" if self.is_emptying else "planned"
        times = (format_time(self.empty_from), format_time(self.empty_until))
        return self.place, ", ".join(self.services), state, *times


def sum_loads(entries, status_by_name):
    """Return the loads from all statuses, in order of service and place."""
    load_by_key = {}
    for entry in entries:
        status = status_by_name[entry.name]
        services = status.unwrap().get("services") if status.is_ok() else None
        for service, load in (services.items() if isinstance(services, dict) else ()):
            if isinstance(load, dict):
                key = (service, entry.place)
                load_by_key.setdefault(key, PlaceLoad(*key)).add(load)
    return [load for _, load in sorted(load_by_key.items())]


def find_emptyings(statuses):
    """Return the emptyings from the status with the highest plan version, in order of place."""
    answers = [status.unwrap() for status in statuses if status.is_ok()]
    latest = max(answers, key=lambda answer: _number(answer.get("plan_version")) or 0, default={})
    items = latest.get("emptyings")
    services_by_window = {}
    for item in items if isinstance(items, list) else ():
        if isinstance(item, dict) and item.get("service") and item.get("place"):
            times = _number(item.get("empty_from")), _number(item.get("empty_until"))
            window = (str(item["place"]), bool(item.get("is_emptying")), *times)
            services_by_window.setdefault(window, []).append(str(item["service"]))
    emptyings = [
        Emptying(place, tuple(sorted(services)), is_emptying, start, end)
        for (place, is_emptying, start, end), services in services_by_window.items()
    ]
    return sorted(emptyings, key=lambda one: (one.place, one.empty_from or 0, one.services))


def _number(value):
    """Return the value if it is a number, else None."""
    return value if isinstance(value, int | float) and not isinstance(value, bool) else None
