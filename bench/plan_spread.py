"""Measures how fast a plan spreads among simulated entries, and how many reports it takes."""

import argparse
import os
import sys
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import json  # noqa: E402
from random import Random  # noqa: E402

import eventlet  # noqa: E402
from attrs import define, frozen  # noqa: E402
from result import Err  # noqa: E402

from figfold.core.codes import Code, Failure  # noqa: E402
from figfold.core.model import FULL_SHARE  # noqa: E402
from figfold.wire.messages import Report  # noqa: E402
from test.virtual import run_virtual  # noqa: E402
from test.virtual_deployment import CAP, Deployment, settings_text  # noqa: E402, settings_text

ENTRIES_PER_PLACE = 4
ENTRY_COUNTS = (12, 48, 96)
# Not a multiple of the round, so that no read is in flight when the plan is accepted.
START_S = 8.003
WATCH_S = 6.0
ROUND_S = 1.0
MS_PER_S = 1000
# Pairs: whether only one entry gets the plan at first, and the percentage of lost messages.
CONDITIONS = ((False, 0), (True, 0), (True, 30))


@frozen
class SpreadFigures:
    """Figures of the spread of one plan.

    Attributes
    ----------
    reached : int
        Number of entries at which the plan came into force.
    last_ms : int
        Time from the acceptance until the plan was in force at the last of them.
    extra_reports : int
        Reports that all entries sent in the second after the acceptance, minus those sent in the
        second before.
    """

    entries: int
    way: str
    lost_percent: int
    reached: int
    last_ms: int
    extra_reports: int


@define
class CountingPeers:
    """A peer client that records the times of sent reports and drops some messages."""

    client: object
    sent_at: list
    random: object
    lost_percent: int = 0

    def call(self, address, message, timeout_s):
        """Send a message through the client."""
        if isinstance(message, Report):
            self.sent_at.append(eventlet.hubs.get_hub().now)
        if self.random.uniform(0, 100) < self.lost_percent:
            eventlet.sleep(timeout_s)
            return Err(Failure(Code.PEER_TIMEOUT, "lost"))
        return self.client.call(address, message, timeout_s)


class SpreadSimulation:
    """A simulated deployment in which one plan replaces another.

    The starts of the entries, and so their rounds, are spread evenly over one second.
    """

    def __init__(self, hub, entries, seed):
        places = [f"r{n % 2 + 1}-p{n}" for n in range(entries // ENTRIES_PER_PLACE)]
        names = {f"{place}-{n}": place for place in places for n in range(ENTRIES_PER_PLACE)}
        share, rest = divmod(FULL_SHARE, len(places))
        self.shares = dict.fromkeys(places, share)
        self.shares[places[0]] += rest
        self.deployment = Deployment(
            hub, names, settings_text(self.shares), self.shares, ROUND_S / entries
        )
        self.hub = hub
        self.reached_at = []
        self.sent_at = []
        self.clients = []
        eventlet.sleep(START_S)
        for node in self.deployment.world.node_by_name.values():
            self._watch(node, Random(f"{seed} {node.settings.entry.name}"))

    def _watch(self, node, random):
        on_change = node.plans.on_change

        def record_and_forward():
            self.reached_at.append(self.hub.now)
            on_change()

        node.plans.on_change = record_and_forward
        client = CountingPeers(node.peers.client, self.sent_at, random)
        node.peers.client = node.plans.peers = client
        self.clients.append(client)

    def run(self, offered, lost_percent):
        """Accept a plan and return the figures of its spread.

        Parameters
        ----------
        offered : bool
            Whether the store fails at once, so that only one entry has the plan, from an offer.
        lost_percent : int
            Percentage of messages between entries that are lost from then on.
        """
        self.sent_at.clear()
        eventlet.sleep(ROUND_S)
        reports_before = len(self.sent_at)
        self.sent_at.clear()
        accepted_at = self.hub.now
        # A lowered cap would make the entries of a place exchange additional reports.
        self.deployment.accept(self.deployment.rows(self.shares, cap=CAP + 1))
        for client in self.clients:
            client.lost_percent = lost_percent
        if offered:
            self._offer()
        eventlet.sleep(WATCH_S)
        return SpreadFigures(
            entries=len(self.deployment.world.node_by_name),
            way="one entry, by an offer" if offered else "all read the store",
            lost_percent=lost_percent,
            reached=len(self.reached_at),
            last_ms=round((max(self.reached_at) - accepted_at) * MS_PER_S),
            extra_reports=sum(at < accepted_at + ROUND_S for at in self.sent_at) - reports_before,
        )

    def _offer(self):
        world = self.deployment.world
        world.store.mode = "down"
        head = world.store.row_by_name["plan/head"][0].decode()
        body = world.store.object_by_name[f"plan-{self.deployment.head.digest}"].decode()
        name, node = next(iter(world.node_by_name.items()))
        offer = json.dumps({"head": head, "body": body})
        self.hub.run_as(world.process_by_name[name], node.plans.accept_offer, offer)


def measure(entries, seed, offered, lost_percent):
    """Return the figures of one run."""
    found = []
    run_virtual(
        lambda hub: found.append(SpreadSimulation(hub, entries, seed).run(offered, lost_percent))
    )
    return found[0]


def main():
    """Run the measurements and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", nargs="+", type=int, default=ENTRY_COUNTS)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for entries in options.entries:
        for offered, lost_percent in CONDITIONS:
            print(measure(entries, options.seed, offered, lost_percent), flush=True)


if __name__ == "__main__":
    sys.exit(main())
