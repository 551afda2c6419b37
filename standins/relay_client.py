"""Client of the network stand-in's control port, which hands out relayed addresses."""

import json

import urllib3

ADDRESS_FIELDS = ("address", "peer_address", "admin_address")
RELAY_TIMEOUT_S = 2


class RelayClient:
    """Resolves and caches relayed addresses; without a control address, nothing is relayed."""

    def __init__(self, control_address):
        self._control_address = control_address
        self._address_by_path = {}
        self._pool = urllib3.PoolManager(retries=False, timeout=RELAY_TIMEOUT_S)

    def rewrite(self, item, from_place):
        """Return a copy of an instance with the addresses of its relays."""
        if not self._control_address:
            return item
        addresses = {
            name: self.address(from_place, item.get("place", ""), item[name])
            for name in ADDRESS_FIELDS
            if item.get(name)
        }
        return item | addresses

    def address(self, from_place, to_place, target):
        """Return the address at which ``from_place`` reaches ``target`` at ``to_place``."""
        path = (from_place, to_place, target)
        if path not in self._address_by_path:
            body = {"from_place": from_place, "to_place": to_place, "target": target}
            url = f"http://{self._control_address}/relay"
            answer = self._pool.request("POST", url, body=json.dumps(body))
            self._address_by_path[path] = json.loads(answer.data)["address"]
        return self._address_by_path[path]
