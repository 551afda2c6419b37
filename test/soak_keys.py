"""API keys of a soak of processes: who held which key when, and what callers may get for it."""

import time
from math import inf

from attrs import Factory, define, frozen

# Shares of the requests of a caller by the key that they carry; the others carry one in force.
NO_KEY_SHARE = 0.2
UNKNOWN_KEY_SHARE = 0.1
FORMER_KEY_SHARE = 0.2
UNKNOWN_KEY = "key-of-nobody"
MAX_FORMER_KEYS = 5


@frozen
class SentRequest:
    """A caller's request: its key, empty for none, and when it was sent, in monotonic seconds."""

    key: str
    is_open: bool
    sent_s: float


@frozen
class Holding:
    """Time for which the store had a key as one of an organisation, in monotonic seconds."""

    key: str
    organisation: str
    since_s: float
    until_s: float = inf


@define(eq=False)
class KeyLedger:
    """The keys of organisations, which are withdrawn, moved, and dropped with all organisations.

    Attributes
    ----------
    keys_by_organisation : dict[str, list[str]]
        Keys that are in force, unless the organisations are dropped.
    former_by_organisation : dict[str, list[str]]
        The latest keys that each organisation has lost.
    dropped : list[tuple[float, float]]
        Starts and ends of the times without organisations.
    """

    keys_by_organisation: dict
    former_by_organisation: dict = Factory(dict)
    dropped: list = Factory(list)
    is_dropped: bool = False
    _since_s_by_holder: dict = Factory(dict)
    _ended: list = Factory(list)
    _made: int = 0

    @classmethod
    def from_names(cls, names):
        """Return a ledger in which each organisation has a key."""
        ledger = cls({name: [] for name in names})
        ledger._give_keys()
        return ledger

    def _give_keys(self):
        for name, keys in self.keys_by_organisation.items():
            if not keys:
                self._made += 1
                keys.append(f"{name}-key-{self._made}")

    def _lose(self, name, key):
        self.keys_by_organisation[name].remove(key)
        former = self.former_by_organisation.setdefault(name, [])
        former.append(key)
        del former[:-MAX_FORMER_KEYS]

    def withdraw(self, random):
        """Take a key away from an organisation."""
        name = random.choice(sorted(self.keys_by_organisation))
        self._lose(name, random.choice(self.keys_by_organisation[name]))
        self._give_keys()

    def move(self, random):
        """Give a key of one organisation to another one."""
        name, other = random.sample(sorted(self.keys_by_organisation), 2)
        key = random.choice(self.keys_by_organisation[name])
        self._lose(name, key)
        self.keys_by_organisation[other].append(key)
        self._give_keys()

    def record_write(self, write):
        """Call a function that writes the organisations to the store, and note when it did."""
        held = {
            (key, name)
            for name, keys in self.keys_by_organisation.items()
            for key in keys
            if not self.is_dropped
        }
        now_s = time.monotonic()
        for one in held - self._since_s_by_holder.keys():
            self._since_s_by_holder[one] = now_s
        if self.is_dropped and (not self.dropped or self.dropped[-1][1] < inf):
            self.dropped.append((now_s, inf))
        write()
        now_s = time.monotonic()
        for one in self._since_s_by_holder.keys() - held:
            self._ended.append(Holding(*one, self._since_s_by_holder.pop(one), now_s))
        if not self.is_dropped and self.dropped and self.dropped[-1][1] == inf:
            self.dropped[-1] = (self.dropped[-1][0], now_s)

    def draw_key(self, source, organisation):
        """Return the key of a request: in force, former, unknown, or none."""
        drawn = source.random()
        if drawn < NO_KEY_SHARE:
            return ""
        if drawn < NO_KEY_SHARE + UNKNOWN_KEY_SHARE:
            return UNKNOWN_KEY
        former = self.former_by_organisation.get(organisation)
        if former and drawn < NO_KEY_SHARE + UNKNOWN_KEY_SHARE + FORMER_KEY_SHARE:
            return source.choice(former)
        return source.choice(self.keys_by_organisation[organisation])

    def _holdings(self, key):
        current = [Holding(*one, since_s) for one, since_s in self._since_s_by_holder.items()]
        return [one for one in (*self._ended, *current) if one.key == key]

    def find_wrong_run(self, request, told, arrived_s, bound_s):
        """Return what is wrong with what a server that ran a request was told, or an empty text.

        Parameters
        ----------
        told : dict[str, str]
            Header fields by name in lower case.
        bound_s : float
            Longest time for which a withdrawn key may be accepted.
        """
        if "x-api-key" in told:
            return "its key reached a server"
        tenant, earliest_s = told.get("tenant"), request.sent_s - bound_s
        if request.key:
            names = {
                one.organisation
                for one in self._holdings(request.key)
                if one.since_s <= arrived_s and one.until_s >= earliest_s
            }
            return "" if tenant in names else f"{request.key} ran as {tenant}, not as {names}"
        was_dropped = any(
            since_s <= arrived_s and until_s >= earliest_s for since_s, until_s in self.dropped
        )
        if tenant is not None:
            return f"it ran without a key as {tenant}"
        return "" if request.is_open or was_dropped else "it ran without a key on a closed route"

    def find_wrong_refusal(self, request, status, code, answered_s, bound_s):
        """Return why a refusal is wrong, or an empty text.

        Parameters
        ----------
        code : int
            Result code in the body, 0 without one.
        bound_s : float
            Longest age of what an entry goes by when it refuses a key for good.
        """
        if not request.key:
            is_wrong = request.is_open and (status == 401 or code in (329, 330, 334))
            return f"{status} ({code}) without a key on an open route" if is_wrong else ""
        is_in_force = any(
            one.since_s <= request.sent_s - bound_s and one.until_s >= answered_s
            for one in self._holdings(request.key)
        )
        return f"401 for {request.key}, which is in force" if status == 401 and is_in_force else ""
