"""State of the platform stand-in besides its rows: objects and the lagging instance list."""

import time


class ObjectStore:
    """Raw objects by name."""

    def __init__(self):
        self._body_by_name = {}

    def get(self, name):
        """Return the status and the body with which an object is read."""
        body = self._body_by_name.get(name)
        return (404, b"") if body is None else (200, body)

    def put(self, name, body, unless_there):
        """Store an object and return the status of the answer."""
        if unless_there and name in self._body_by_name:
            return 412
        self._body_by_name[name] = body
        return 200


class InstanceList:
    """The true list of instances, and the one that readers see ``lag_s`` later."""

    def __init__(self, lag_s):
        self.lag_s = lag_s
        self.item_by_name = {}
        # Pairs of the time from which readers see a list, and that list.
        self._published = [(0.0, [])]

    def alter(self, items, immediate=False):
        """Register, alter or (with ``removed``) remove instances by name."""
        for item in items:
            name = item["name"]
            if item.get("removed"):
                self.item_by_name.pop(name, None)
                continue
            self.item_by_name[name] = self.item_by_name.get(name, {}) | item
        visible_at = 0.0 if immediate else time.monotonic() + self.lag_s
        current = [dict(item) for item in self.item_by_name.values()]
        if immediate:
            self._published = []
        self._published.append((visible_at, current))

    def seen(self):
        """Return the list that readers see now."""
        now = time.monotonic()
        while len(self._published) > 1 and self._published[1][0] <= now:
            self._published.pop(0)
        return self._published[0][1]
