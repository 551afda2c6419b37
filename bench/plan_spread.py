"""How fast a plan spreads among the entries of virtual deployments, and by how many exchanges."""

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
# Not a whole number of rounds, so that no reading is on its way at the acceptance.
START_S = 8.003
WATCH_S = 6.0
ROUND_S = 1.0
MS_PER_S = 1000
# Whether only one entry has the plan at first, and the percentage of lost messages.
WAYS = ((False, 0), (True, 0), (True, 30))


@frozen
class SpreadFigures:
    """What came of one plan.

    Attributes
    ----------
    reached : int
        Entries in which the plan came into force.
    last_ms : int
        Time from the acceptance until it was in force at the last of them.
    extra_reports : int
        Reports that all entries sent in the second after the acceptance beyond those of the
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
    """A client of the peers that counts the reports it sends, and loses some messages."""

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


class Spread:
    """A virtual deployment in which one plan follows another.

    The entries start one after another within a second, so that their rounds are spread over it.
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

        def note_and_go_on():
            self.reached_at.append(self.hub.now)
            on_change()

        node.plans.on_change = note_and_go_on
        client = CountingPeers(node.peers.client, self.sent_at, random)
        node.peers.client = node.plans.peers = client
        self.clients.append(client)

    def run(self, offered, lost_percent):
        """Accept a plan and return what came of it.

        Parameters
        ----------
        offered : bool
            Whether the store is lost at once, so that only one entry has the plan, by an offer.
        lost_percent : int
            Part of the messages between entries that are lost from then on.
        """
        self.sent_at.clear()
        eventlet.sleep(ROUND_S)
        usual = len(self.sent_at)
        self.sent_at.clear()
        accepted_at = self.hub.now
        # A lowered cap would let the entries of a place exchange more reports than the plan needs.
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
            extra_reports=sum(at < accepted_at + ROUND_S for at in self.sent_at) - usual,
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
    run_virtual(lambda hub: found.append(Spread(hub, entries, seed).run(offered, lost_percent)))
    return found[0]


def main():
    """Print one line of figures for each run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", nargs="+", type=int, default=ENTRY_COUNTS)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for entries in options.entries:
        for offered, lost_percent in WAYS:
            print(measure(entries, options.seed, offered, lost_percent), flush=True)


if __name__ == "__main__":
    sys.exit(main())
