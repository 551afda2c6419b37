"""Real deployments of many entry processes on loopback, to measure idle entries."""

import csv
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from bench.capacity_samples import (
    ENTRIES_PER_PLACE,
    SERVERS_BY_SERVICE,
    SLOTS,
    even_shares,
    make_topology,
)
from test.support import ROOT, Process, start_standin

ENTRY_FIELDS = ("name", "place", "address", "peer_address", "admin_address")
SHEET_COLUMNS = ("service", "place", "share_percent", "cap", "state", "empty_from", "empty_until")
HUNDREDTHS = 100
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
COMMAND_TIMEOUT_S = 90
PROCESS_OF_SOCKET = re.compile(r"pid=(\d+)")
SENT = re.compile(r"bytes_sent:(\d+)")
RECEIVED = re.compile(r"bytes_received:(\d+)")


class CapacityDeployment:
    """Stand-ins and a number of entries, four at each place, with as many seats."""

    def __init__(self, entries, seed):
        self.topology = make_topology(max(1, entries // ENTRIES_PER_PLACE))
        self.entry_by_name = {}
        self.platform = None
        self.backend = None
        self._entries = entries
        self._seed = seed
        self._directory = tempfile.TemporaryDirectory(prefix="figfold-capacity-")
        self._logs = []

    # Starting and stopping.

    def start(self):
        """Start all processes and register every instance."""
        regions = {name: self.topology.places_in(name) for name in self.topology.region_by_name}
        self.platform = start_standin("platform", regions=regions, seed=self._seed)
        servers = list(self._server_settings())
        self.backend = start_standin("backend", servers=servers, seed=self._seed)
        self._path("shared.ini").write_text(self._shared_settings(), encoding="utf-8")
        for place in self.topology.place_by_name:
            for number in range(min(ENTRIES_PER_PLACE, self._entries)):
                name = f"{place}-e{number}"
                self.entry_by_name[name] = self._launch(name, place)
        for entry in self.entry_by_name.values():
            entry.wait_ready()
        items = [self._entry_item(entry) for entry in self.entry_by_name.values()]
        items += [
            one | {"role": "server", "state": "live"} for one in self.backend.ready["servers"]
        ]
        self.platform.control("PUT", "/instances", {"instances": items, "immediate": True})

    def stop(self):
        """Stop all processes; entries are killed, since no test needs their graceful stop."""
        for entry in self.entry_by_name.values():
            entry.child.kill()
        for entry in self.entry_by_name.values():
            entry.wait()
        for process in (self.backend, self.platform):
            if process:
                process.stop()
        for log in self._logs:
            log.close()
        self._directory.cleanup()

    def _launch(self, name, place):
        lines = ["[include]", f"files = {self._path('shared.ini')}", "[entry]"]
        lines += [f"name = {name}", f"place = {place}"]
        options = ("address", "peer_address", "admin_address")
        lines += [f"{option} = 127.0.0.1:0" for option in options]
        path = self._path(f"{name}.ini")
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        log = open(self._path(f"{name}.log"), "w", encoding="utf-8")
        self._logs.append(log)
        return Process.launch("figfold.entry.main", "--settings", str(path), stderr=log)

    def _path(self, name):
        return Path(self._directory.name) / name

    def _entry_item(self, entry):
        item = {field: entry.ready[field] for field in ENTRY_FIELDS}
        return item | {"role": "entry", "state": "live"}

    def _server_settings(self):
        for service in self.topology.service_by_name.values():
            for place, count in service.endpoints_by_place.items():
                for number in range(1, count + 1):
                    name = f"{service.name}-{place}-{number}"
                    item = {"name": name, "service": service.name, "place": place}
                    yield item | {"slots": SLOTS}

    def _shared_settings(self):
        lines = ["[platform]", f"url = {self.platform.ready['url']}"]
        lines += ["[seats]", f"count = {ENTRIES_PER_PLACE}"]
        for region in self.topology.region_by_name.values():
            lines += [f"[region {region.name}]", f"demand_percent = {region.demand_percent:.6f}"]
        for place in self.topology.place_by_name.values():
            lines += [f"[place {place.name}]", f"region = {place.region}"]
        for service in self.topology.service_by_name.values():
            counts = " ".join(f"{p}:{n}" for p, n in service.endpoints_by_place.items())
            lines += [f"[service {service.name}]", f"endpoints = {counts}", f"slots = {SLOTS}"]
        return "\n".join(lines) + "\n"

    # Operators.

    def write_sheet(self, shift=0):
        """Write a sheet with even shares, ``shift`` hundredths of 1 % moved; return its path."""
        shares = even_shares(len(self.topology.place_by_name))
        shares[0] -= shift
        shares[-1] += shift
        rows = [
            (service, place, f"{share / HUNDREDTHS:.2f}", count * SLOTS, "serving", "", "")
            for service, count in zip(
                self.topology.service_by_name, SERVERS_BY_SERVICE, strict=True
            )
            for place, share in zip(self.topology.place_by_name, shares, strict=True)
        ]
        path = self._path(f"sheet-{shift}.csv")
        with open(path, "w", newline="", encoding="utf-8") as file:
            writer = csv.writer(file)
            writer.writerow(SHEET_COLUMNS)
            writer.writerows(rows)
            writer.writerow(("end", len(rows)))
        return path

    def apply(self, path):
        """Apply a sheet with the operators' command line and return the output."""
        command = [sys.executable, "-m", "figfold.ui.main", "sheet", "apply", str(path)]
        command += ["--operator", "bench", "--settings", str(self._path("shared.ini"))]
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S
        )
        if done.returncode:
            raise RuntimeError(done.stdout + done.stderr)
        return done.stdout

    def log_text(self, name):
        """Return the log of an entry."""
        return self._path(f"{name}.log").read_text(encoding="utf-8")

    # Processes.

    def pids(self):
        """Return the process ids of the entries by name."""
        return {name: entry.child.pid for name, entry in self.entry_by_name.items()}


def cpu_s(pid):
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def machine_busy_s():
    """Return the processor time of all processes of the machine in seconds."""
    fields = [int(one) for one in Path("/proc/stat").read_text().splitlines()[0].split()[1:9]]
    return (sum(fields) - fields[3] - fields[4]) / TICKS_PER_S


def resident_bytes(pid):
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def socket_bytes(pid):
    """Return the sent and received bytes of a process's TCP connections.

    Returns
    -------
    dict[tuple[int, int], tuple[int, int]]
        Sent and received bytes by local and remote port, without TCP and IP headers.
    """
    output = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    by_ports = {}
    for line in output.splitlines():
        owner = PROCESS_OF_SOCKET.search(line)
        if not owner or int(owner.group(1)) != pid:
            continue
        local, remote = line.split()[3:5]
        ports = (int(local.rsplit(":", 1)[1]), int(remote.rsplit(":", 1)[1]))
        by_ports[ports] = tuple(
            int(found.group(1)) if found else 0
            for found in (SENT.search(line), RECEIVED.search(line))
        )
    return by_ports
