"""Runs a whole deployment on loopback: the stand-ins and one daemon per entry."""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from figfold.config.settings import load_settings
from test.support import ROOT, Process, start_standin

EXAMPLES = ROOT / "examples"
ENTRIES_PER_PLACE = 2
COMMAND_TIMEOUT_S = 30
LISTEN_OPTIONS = ("address", "peer_address", "admin_address")
ENTRY_FIELDS = ("name", "place", "address", "peer_address", "admin_address")


class Deployment:
    """The running processes of one deployment.

    Attributes
    ----------
    entry_by_name : dict[str, Process]
        The entry daemons; their ready lines contain their addresses.
    backend : Process
        The stand-in that hosts all backend servers.
    listen_host : str
        Host on which the entries listen, with ports chosen by the kernel.
    """

    listen_host = "127.0.0.1"

    def __init__(self, name, settings, delays, seed, options, examples=EXAMPLES):
        self.name = name
        self.examples = examples
        self.topology = settings.topology
        self.bits_per_s = settings.links.bits_per_s
        self.one_way_ms = delays["one_way_ms"]
        self.platform = None
        self.network = None
        self.backend = None
        self.entry_by_name = {}
        self._standin_settings = delays
        self._options = options
        self._seed = seed
        self._directory = tempfile.TemporaryDirectory(prefix="figfold-bench-")
        self._logs = []

    @classmethod
    def from_config(cls, name, seed, options=None, examples=EXAMPLES):
        """Read the example settings of a deployment; nothing is started yet.

        Parameters
        ----------
        name : str
            ``carrick`` or ``bulwagan``.
        seed : int
            Seed of all random choices of the stand-ins.
        options : dict[str, dict] or None
            Options by section that override the example settings of the entries; the section
            ``backend`` has settings of every backend server stand-in.
        examples : Path
            Directory of the settings, the sheets and the delays of the deployment.
        """
        settings = load_settings(examples / f"{name}.ini", required_sections=())
        if settings.is_err():
            raise RuntimeError("\n".join(str(failure) for failure in settings.unwrap_err()))
        delays = json.loads((examples / f"{name}-standins.json").read_text(encoding="utf-8"))
        return cls(name, settings.unwrap(), delays, seed, dict(options or {}), examples)

    @property
    def regions(self):
        """Names of the places by region."""
        return {name: self.topology.places_in(name) for name in self.topology.region_by_name}

    # Starting and stopping.

    def start(self):
        """Start all processes and register every instance in the platform's list."""
        self._start_standins()
        self._start_entries()
        items = [*map(self._entry_item, self.entry_by_name), *self._server_items()]
        self.platform.control("PUT", "/instances", {"instances": items, "immediate": True})

    def stop_entries(self, limit_s):
        """Stop all entries gracefully and return their exit statuses by name."""
        for entry in self.entry_by_name.values():
            entry.terminate()
        return {name: entry.wait(limit_s) for name, entry in self.entry_by_name.items()}

    def stop(self):
        """Stop all processes; entries that still run are killed."""
        for entry in self.entry_by_name.values():
            entry.child.kill()
            entry.wait()
        for process in (self.backend, self.platform, self.network):
            if process:
                process.stop()
        for log in self._logs:
            log.close()
        self._directory.cleanup()

    def _start_standins(self):
        delays = {
            "regions": self.regions,
            "place_delay_ms": self.one_way_ms["data_centre"],
            "region_delay_ms": self.one_way_ms["region"],
            "seed": self._seed,
        }
        self.network = start_standin("network", **delays, bits_per_s=self.bits_per_s)
        self.platform = start_standin(
            "platform",
            **delays,
            store_place=self._standin_settings["store_place"],
            relay_control=self.network.ready["control_address"],
        )
        defaults = {
            "open_delay_ms": self._standin_settings["open_ms"],
            "probe_delay_ms": self._standin_settings["probe_ms"],
        }
        defaults |= self._options.pop("backend", {})
        servers = list(self._server_settings())
        self.backend = start_standin("backend", servers=servers, defaults=defaults, seed=self._seed)

    def _server_settings(self):
        for service in self.topology.service_by_name.values():
            for place, count in service.endpoints_by_place.items():
                for number in range(1, count + 1):
                    yield {
                        "name": f"{service.name}-{place}-{number}",
                        "service": service.name,
                        "place": place,
                        "slots": service.slots,
                        "connections": service.connections,
                    }

    def _start_entries(self):
        for place in self.topology.place_by_name:
            for number in range(1, ENTRIES_PER_PLACE + 1):
                name = f"{place}-e{number}"
                self.entry_by_name[name] = self._launch_entry(name, place)
        for entry in self.entry_by_name.values():
            entry.wait_ready()

    def start_entry(self, name, place, same_addresses=False):
        """Start an entry, wait until it is ready, and add it to the platform's list.

        Parameters
        ----------
        same_addresses : bool
            Whether to use the addresses of the previous entry of this name.
        """
        ready = self.entry_by_name[name].ready if same_addresses else {}
        addresses = {option: ready[option] for option in LISTEN_OPTIONS if option in ready}
        self.entry_by_name[name] = self._launch_entry(name, place, addresses).wait_ready()
        self._update_instance(self._entry_item(name))

    def _launch_entry(self, name, place, addresses=None):
        path = Path(self._directory.name) / f"{name}.ini"
        path.write_text(self._entry_settings(name, place, addresses), encoding="utf-8")
        log = open(self.log_path(name), "a", encoding="utf-8")
        self._logs.append(log)
        return Process.launch("figfold.entry.main", "--settings", str(path), stderr=log)

    def _default_addresses(self):
        return {option: f"{self.listen_host}:0" for option in LISTEN_OPTIONS}

    def log_path(self, name):
        """Return the path of an entry's log, which is removed when the deployment is stopped."""
        return Path(self._directory.name) / f"{name}.log"

    def _entry_settings(self, name, place, addresses):
        sections = {
            "include": {"files": self.examples / f"{self.name}.ini"},
            "entry": {"name": name, "place": place} | self._default_addresses() | (addresses or {}),
            "platform": {"url": self.platform.ready["url"]},
        }
        for section, options in self._options.items():
            sections[section] = sections.get(section, {}) | options
        lines = []
        for section, options in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{option} = {value}" for option, value in options.items()]
        return "\n".join(lines) + "\n"

    # Instances.

    def _entry_item(self, name):
        ready = self.entry_by_name[name].ready
        item = {field: ready[field] for field in ENTRY_FIELDS}
        return item | {"role": "entry", "state": "live"}

    def _server_items(self):
        return [
            item | {"role": "server", "state": "live"} for item in self.backend.ready["servers"]
        ]

    def set_state(self, name, state):
        """Update an instance's state in the platform's list, which readers see with a delay."""
        self._update_instance({"name": name, "state": state})

    def remove(self, name):
        """Remove an instance from the platform's list."""
        self._update_instance({"name": name, "removed": True})

    def _update_instance(self, item):
        self.platform.control("PUT", "/instances", {"instances": [item]})

    def addresses(self):
        """Return the caller addresses of all entries by name, including stopped ones."""
        return {name: entry.ready["address"] for name, entry in self.entry_by_name.items()}

    def record(self):
        """Return the records of the backend servers."""
        return self.backend.control("GET", "/standin/record")

    # Operators.

    def run_command(self, *arguments):
        """Run the operators' command line; return its exit status, output and run time in s."""
        command = [sys.executable, "-m", "figfold.ui.main", *arguments]
        command += ["--settings", str(self.examples / f"{self.name}.ini")]
        command += ["--platform", self.platform.ready["url"]]
        started = time.monotonic()
        child = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S
        )
        return child.returncode, child.stdout + child.stderr, time.monotonic() - started

    def apply_sheet(self, sheet, *options):
        """Apply the example sheet ``NAME-SHEET.csv``; return the result of the command."""
        path = self.examples / f"{self.name}-{sheet}.csv"
        return self.run_command("sheet", "apply", str(path), "--operator", "bench", *options)
