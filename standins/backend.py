"""Stand-in for backend servers: one process hosts many, each on its own port."""

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

from standins.process import (  # noqa: E402
    address_of,
    json_app,
    listen,
    read_settings,
    run_until_terminated,
    spawn_wsgi,
)
from standins.record import RunRecord  # noqa: E402
from standins.server import BackendServer  # noqa: E402

DEFAULTS = {
    "servers": [],  # settings of each server, which override those of ``defaults``
    "defaults": {},
    "control_address": "127.0.0.1:0",
    "seed": 1,
}


class Backend:
    """The backend servers of the process and their control port."""

    def __init__(self, server_by_name, run_record):
        self.server_by_name = server_by_name
        self._run_record = run_record

    @classmethod
    def from_config(cls, settings):
        """Create the backend servers that the settings name."""
        runs = RunRecord()
        servers = [
            BackendServer.from_config(settings["defaults"] | item, runs, settings["seed"] + index)
            for index, item in enumerate(settings["servers"])
        ]
        return cls({server.record.name: server for server in servers}, runs)

    def start(self):
        """Start all backend servers."""
        for server in self.server_by_name.values():
            server.start()

    def ready_items(self):
        """Return name, service, place and address of each backend server."""
        return [
            {
                "name": server.record.name,
                "service": server.record.service,
                "place": server.record.place,
                "address": server.address,
            }
            for server in self.server_by_name.values()
        ]

    def control_app(self):
        """Return the WSGI app of the control port."""
        return json_app(
            {
                ("GET", "/standin/record"): self._get_record,
                ("GET", "/standin/counts"): self._get_counts,
                ("POST", "/standin/maxima"): self._post_maxima,
                ("POST", "/faults"): self._post_faults,
            }
        )

    def _get_record(self, _body, _query):
        return self._run_record.as_json(self._server_records())

    def _get_counts(self, _body, _query):
        return self._run_record.as_counts(self._server_records())

    def _server_records(self):
        return [server.record for server in self.server_by_name.values()]

    def _post_maxima(self, _body, _query):
        self._run_record.clear_maxima(self._server_records())
        return {}

    def _post_faults(self, body, _query):
        names = self._selected_names(body)
        for name in names:
            _set_faults(self.server_by_name[name], body)
        return {"servers": names}

    def _selected_names(self, body):
        """Return the names of the servers that a control request selects."""
        names = body.get("servers")
        service, place = body.get("service"), body.get("place")
        return [
            name
            for name, server in self.server_by_name.items()
            if (names is None or name in names)
            and service in (None, server.record.service)
            and place in (None, server.record.place)
        ]


def _set_faults(server, body):
    faults = server.faults
    faults.slow_factor = body.get("slow_factor", faults.slow_factor)
    faults.is_frozen = body.get("freeze", faults.is_frozen)
    faults.health = body.get("health", faults.health)
    faults.load = body.get("load", faults.load)
    if "requests" in body:
        faults.replace_requests(body["requests"])
    if "leaving" in body:
        server.start_leaving(body.get("shed", False)) if body["leaving"] else server.stop_leaving()
    if body.get("silence_connections"):
        server.silence_connections()
    if "crash_ms" in body:
        server.crash(body["crash_ms"])


def main():
    """Run the backend server stand-ins."""
    settings = read_settings(DEFAULTS)
    backend = Backend.from_config(settings)
    backend.start()
    control_listener = listen(settings["control_address"])
    spawn_wsgi(control_listener, backend.control_app())
    run_until_terminated(
        {"control_address": address_of(control_listener), "servers": backend.ready_items()}
    )


if __name__ == "__main__":
    main()
