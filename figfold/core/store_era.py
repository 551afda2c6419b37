"""Eras of the store: it starts a new one each time that it is restored from an older copy.

A restore takes versions back and assigns them again, so that only the era and the version together
order what the store has held. Both are packed into one integer, the era in the upper bits. Packed
versions of the era 0, which is also that of a store without eras, equal the store's own.
"""

from math import inf

from attrs import define

VERSION_BITS = 44
MAX_VERSION = (1 << VERSION_BITS) - 1
# Packed versions fit into signed integers of 64 bits.
MAX_ERA = (1 << 63 - VERSION_BITS) - 1
# Time after a restore, or after an outage of the store, in which the servers and the operator write
# again what was lost.
REREGISTRATION_GRACE_S = 2.2
# Two restores within this time may return to copies of the same era.
SAME_COPY_S = 10.0


def pack_version(era, version):
    """Return an integer that orders versions of the store by era, then by version."""
    return era << VERSION_BITS | version


def era_of(packed):
    """Return the era of a packed version."""
    return packed >> VERSION_BITS


def era_start(packed):
    """Return a packed version after all of earlier eras and before all of this one's era."""
    return era_of(packed) << VERSION_BITS


def is_era_start(packed):
    """Return whether a packed version is one of `era_start`, which no row and no read has."""
    return packed > 0 and packed == era_start(packed)


def ignore_new_era(_era, _before):
    """Do nothing."""


@define
class EraTracker:
    """The highest era of the store that this process has seen in an answer.

    Attributes
    ----------
    era : int
    seen_s : float
        When the first answer of the era was read, in monotonic seconds.
    has_eras : bool or None
        Whether any answer has stated an era; None before the first answer.
    on_new_era : callable
        ``(era, before)``, called once for each era.
    """

    era: int = 0
    seen_s: float = -inf
    has_eras: bool | None = None
    on_new_era: object = ignore_new_era
    # Version that the store had in its first answer of the era; None before there was one.
    _first_version: int | None = None
    # Era under which the rows of the copy are ordered.
    _copy_era: int = 0

    def record_answer(self, era, now_s):
        """Record the era that an answer states; return False if it is an earlier one.

        Parameters
        ----------
        era : int or None
            None if the answer states none; it then counts as one of the era known so far.
        """
        if era is None:
            self.has_eras = bool(self.has_eras)
            return True
        self.has_eras = True
        if era < self.era:
            return False
        if era > self.era:
            before, self.era = self.era, era
            if now_s - self.seen_s >= SAME_COPY_S:
                self._copy_era = before
            self.seen_s = now_s
            self._first_version = None
            self.on_new_era(era, before)
        return True

    def is_settling(self, now_s):
        """Return whether what was lost in a restore may not have been written again yet."""
        return self.settling_s(now_s) > 0.0

    def settling_s(self, now_s):
        """Return for how long `is_settling` still holds, in seconds."""
        return max(0.0, self.seen_s + REREGISTRATION_GRACE_S - now_s)

    def pack(self, version):
        """Return the packed version of the store as stated in an answer of the current era."""
        if self._first_version is None:
            self._first_version = version
        return pack_version(self.era, version) if self.era else version

    def pack_row(self, version):
        """Return the packed version of a row in an answer of the current era.

        A row that the store had when it was first seen in this era is one of the copy. It is
        ordered before all that was known of earlier eras, since later rows were lost.
        """
        if not self.era:
            return version
        is_of_copy = self._first_version is None or version <= self._first_version
        return pack_version(self._copy_era if is_of_copy else self.era, version)

    def unpack(self, packed):
        """Return the store's own version, or None if it is one of another era."""
        if self.has_eras is False:
            return packed
        return packed & MAX_VERSION if era_of(packed) == self.era else None
