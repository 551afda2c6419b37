"""Recognises requests that callers repeat immediately."""

from collections import OrderedDict

from attrs import Factory, define

# Time within which the same request counts as a repeat.
REPEAT_WINDOW_S = 1.0
MAX_KNOWN = 4096


@define
class RepeatDetector:
    """Recent requests by organisation and fingerprint; times are monotonic seconds."""

    _until_s_by_request: OrderedDict = Factory(OrderedDict)

    def observe(self, organisation, fingerprint, now_s):
        """Record a request; return whether it repeats one too early."""
        known = self._until_s_by_request
        key = organisation, fingerprint
        is_repeat = now_s < known.get(key, now_s)
        known[key] = now_s + REPEAT_WINDOW_S
        known.move_to_end(key)
        while len(known) > MAX_KNOWN or known[next(iter(known))] <= now_s:
            known.popitem(last=False)
        return is_repeat

    def allow_after(self, organisation, fingerprint, allowed_s):
        """Let a refused request return at the time that its caller was told, also if it is soon."""
        key = organisation, fingerprint
        if key in self._until_s_by_request:
            self._until_s_by_request[key] = min(self._until_s_by_request[key], allowed_s)
