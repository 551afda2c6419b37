"""Slopes of state: memory of each kind of state, and client address blocks."""

import gc
import random
import tempfile
import time
import tracemalloc
from ipaddress import IPv4Address

from bench.capacity_fit import US_PER_S, Slope
from bench.capacity_samples import (
    make_demand,
    make_instances,
    make_membership,
    make_plan,
    make_rows,
    make_topology,
)
from bench.capacity_slopes import ENTRY_COUNTS, PLACE_COUNTS
from figfold.config.settings import load_settings
from figfold.core.blocks import BlockMap
from figfold.core.bookings import ClaimRegistry
from figfold.core.model import Service
from figfold.core.plan import decode_body, encode_body
from figfold.core.pool import ServerView, ServicePool
from figfold.core.weights import build_weights
from figfold.entry.clock import now_s

BLOCK_COUNTS = (350_000, 700_000, 1_400_000)
BLOCK_PREFIX_SHIFT = 11
SETTINGS_BLOCK_COUNTS = (5_000, 10_000, 20_000)
LOOKED_UP = 50_000
KEYS = 10_000
SERVERS = 1_000


def state_slopes(seed):
    """Return every slope of this module."""
    return memory_slopes() + block_slopes(seed)


# Memory.


def memory_of(make):
    """Return the memory in bytes of the value that a function returns."""
    gc.collect()
    tracemalloc.start()
    value = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return size


def memory_slopes():
    """Return the memory of each kind of state by its number of items."""
    now = now_s()
    states = {
        ("memory: claims of idempotency keys", "keys"): ((1000, 5000, KEYS), _make_ledger),
        ("memory: membership", "entries"): (
            ENTRY_COUNTS,
            lambda n: make_membership(make_topology(max(1, n // 4)), n, now),
        ),
        ("memory: pool", "backend servers"): ((10, 100, SERVERS), _make_pool),
        ("memory: instance list", "instances"): (
            (96, 480, 1360),
            lambda n: make_instances(make_topology(max(1, n // 12)), n - n // 12 * 8),
        ),
        ("memory: plan", "rows"): ((84, 330, 2640), _make_rows_plan),
        ("memory: weights of one service and set of unusable places", "places"): (
            PLACE_COUNTS,
            _make_weights,
        ),
    }
    slopes = []
    for (name, variable), (counts, make) in states.items():
        points = [(count, memory_of(lambda n=count, m=make: m(n))) for count in counts]
        slopes.append(Slope.from_points(name, "bytes", variable, points))
    return slopes


def _make_ledger(keys):
    ledger = ClaimRegistry()
    for number in range(keys):
        ledger.begin("service1", f"key-{number:032d}", "ab" * 32, f"r1-p1-e1:{number}")
    return ledger


def _make_pool(servers):
    pool = ServicePool.from_config(Service("service0"))
    pool.set_servers([ServerView(f"service0-r1-p1-{n}", False) for n in range(servers)], 0.0)
    return pool


def _make_rows_plan(rows):
    topology = make_topology(110, max(1, rows // 110))
    body = encode_body(make_rows(topology)[:rows], make_demand(topology))
    return decode_body(body)


def _make_weights(places):
    topology = make_topology(places)
    return build_weights(make_plan(topology), topology, "service0", frozenset())


# Client address blocks.


def block_slopes(seed):
    """Return size, build time and look-up cost of the block map, and the cost of its settings."""
    sizes, builds, look_ups = [], [], []
    for count in BLOCK_COUNTS:
        started = time.process_time()
        block_map = BlockMap.from_blocks(_blocks(count)).unwrap()
        builds.append((count, time.process_time() - started))
        arrays = (block_map.starts, block_map.region_indices)
        sizes.append((count, sum(len(one) * one.itemsize for one in arrays)))
        look_ups.append((count, _find_region_us(block_map, count, seed)))
    return [
        Slope.from_points("blocks: size", "bytes", "blocks", sizes),
        Slope.from_points("blocks: build", "s", "blocks", builds),
        Slope.from_points("blocks: look-up", "us", "blocks", look_ups),
        *settings_block_slopes(),
    ]


def _blocks(count):
    for number in range(count):
        start = IPv4Address(number << BLOCK_PREFIX_SHIFT)
        yield f"{start}/{32 - BLOCK_PREFIX_SHIFT}", f"r{number % 7 + 1}"


def _find_region_us(block_map, count, seed):
    chosen = random.Random(seed)
    end = count << BLOCK_PREFIX_SHIFT
    texts = [str(IPv4Address(chosen.randrange(end))) for _ in range(LOOKED_UP)]
    started = time.process_time()
    for text in texts:
        block_map.find_region(text)
    return (time.process_time() - started) / LOOKED_UP * US_PER_S


def settings_block_slopes():
    """Return the time to read settings with blocks, and the memory of the loaded settings."""
    times, kept = [], []
    for count in SETTINGS_BLOCK_COUNTS:
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(_settings_with_blocks(count))
            file.flush()
            started = time.process_time()
            load_settings(file.name, required_sections=()).unwrap()
            times.append((count, time.process_time() - started))
            kept.append(
                (count, memory_of(lambda name=file.name: load_settings(name, required_sections=())))
            )
    return [
        Slope.from_points("settings: read", "s", "blocks", times),
        Slope.from_points("settings: kept", "bytes", "blocks", kept),
    ]


def _settings_with_blocks(count):
    blocks = [block for block, _ in _blocks(count)]
    lines = ["[region r1]", "demand_percent = 100", "caller_blocks ="]
    lines += [f"    {block}" for block in blocks]
    lines += ["[place p1]", "region = r1", "[service s1]", "endpoints = p1:1"]
    return "\n".join(lines) + "\n"
