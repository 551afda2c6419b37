"""Sums that lose weight with age, and shares of demand by name."""

from math import exp, inf

from attrs import Factory, define

# Names beyond this number are checked for those without recent demand.
MAX_NAMES = 1000
# Names with less remaining weight than this are dropped.
MIN_WEIGHT = 0.01


@define
class DecayedSum:
    """Sum of amounts that decay exponentially; times are monotonic seconds."""

    decay_s: float
    _value: float = 0.0
    _added_s: float = -inf

    def add(self, amount, now_s):
        """Add an amount."""
        self._value = self.value(now_s) + amount
        self._added_s = now_s

    def value(self, now_s):
        """Return the sum, in which an amount has lost all but 1/e after ``decay_s``."""
        if not self._value:
            return 0.0
        return self._value * exp(-max(0.0, now_s - self._added_s) / self.decay_s)


@define
class DemandShares:
    """Share of each name in the recent requests."""

    decay_s: float
    _sum_by_name: dict = Factory(dict)
    _total: DecayedSum = Factory(lambda self: DecayedSum(self.decay_s), takes_self=True)

    def count(self, name, now_s):
        """Count a request."""
        if name not in self._sum_by_name:
            if len(self._sum_by_name) >= MAX_NAMES:
                self._drop_idle(now_s)
            self._sum_by_name[name] = DecayedSum(self.decay_s)
        self._sum_by_name[name].add(1.0, now_s)
        self._total.add(1.0, now_s)

    def share(self, name, now_s):
        """Return the share of a name, from 0 to 1."""
        total = self._total.value(now_s)
        known = self._sum_by_name.get(name)
        return known.value(now_s) / total if known is not None and total > 0.0 else 0.0

    def name_count(self):
        """Return the number of known names, at least 1."""
        return max(1, len(self._sum_by_name))

    def _drop_idle(self, now_s):
        self._sum_by_name = {
            name: one for name, one in self._sum_by_name.items() if one.value(now_s) >= MIN_WEIGHT
        }
