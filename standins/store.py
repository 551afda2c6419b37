"""Objects and the delayed instance list of the platform stand-in."""

import time


class ObjectStore:
    """Raw objects by name."""

    def __init__(self):
        self._body_by_name = {}

    def get(self, name):
        """Return the status and the body of the response to a read of an object."""
        body = self._body_by_name.get(name)
        return (404, b"") if body is None else (200, body)

    def put(self, name, body, if_absent):
        """Store an object and return the status of the response."""
        if if_absent and name in self._body_by_name:
            return 412
        self._body_by_name[name] = body
        return 200


class InstanceList:
    """The current list of instances, which readers see ``lag_s`` later."""

    def __init__(self, lag_s):
        self.lag_s = lag_s
        self.item_by_name = {}
        # Published lists, each with the time from which readers see it.
        self._published = [(0.0, [])]

    def update(self, items, immediate=False):
        """Add, update or (with ``removed``) remove instances by name."""
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

    def visible_items(self):
        """Return the list that readers see now."""
        now = time.monotonic()
        while len(self._published) > 1 and self._published[1][0] <= now:
            self._published.pop(0)
        return self._published[0][1]
