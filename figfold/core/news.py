"""News of entries, each of which is told in a limited number of reports."""

from itertools import chain, islice

from attrs import Factory, define


@define
class News:
    """Names of the entries that have changed, by the number of reports that have told it."""

    _names_by_repeats: list[dict] = Factory(list)
    _repeats_by_name: dict[str, int] = Factory(dict)

    def add(self, name):
        """Add an entry that has changed, which no report has told yet."""
        self._move(name, 0)

    def take(self, limit, most_repeats):
        """Return the names for one report, those first that were told least often.

        Parameters
        ----------
        limit : int
            The most names in one report.
        most_repeats : int
            Number of reports after which a change is no news any more.
        """
        if not self._repeats_by_name:
            return []
        names = list(islice(chain.from_iterable(self._names_by_repeats), limit))
        for name in names:
            repeats = self._repeats_by_name[name] + 1
            self._move(name, repeats if repeats < most_repeats else None)
        return names

    def _move(self, name, repeats):
        before = self._repeats_by_name.pop(name, None)
        if before is not None:
            del self._names_by_repeats[before][name]
        if repeats is not None:
            while len(self._names_by_repeats) <= repeats:
                self._names_by_repeats.append({})
            self._names_by_repeats[repeats][name] = None
            self._repeats_by_name[name] = repeats
