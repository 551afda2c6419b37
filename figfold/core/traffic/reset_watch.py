"""Tells resets of connections by the network from those by servers that crash."""

from attrs import Factory, define

# Resets within this time may have one cause.
RESET_WINDOW_S = 2.0
# So many servers do not crash by requests at the same time.
NETWORK_RESET_SERVERS = 3


@define
class ResetWatch:
    """Servers that have lately reset connections; times are monotonic seconds."""

    _reset_s_by_server: dict[str, float] = Factory(dict)

    def record(self, server_id, now_s):
        """Record a reset; return whether the network is its likely cause."""
        self._reset_s_by_server = {
            one: at_s
            for one, at_s in self._reset_s_by_server.items()
            if now_s - at_s <= RESET_WINDOW_S
        }
        self._reset_s_by_server[server_id] = now_s
        return len(self._reset_s_by_server) >= NETWORK_RESET_SERVERS
