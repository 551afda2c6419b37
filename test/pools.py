"""Builds service pools and requests for tests."""

from figfold.core.model import Service
from figfold.core.pool import (
    DispatchOutcome,
    DispatchReport,
    Permits,
    PoolOptions,
    PoolRequest,
    ServerView,
    ServicePool,
)

SERVERS = ("a", "b", "c")
FOREVER_S = 1e9


def make_pool(servers=2, slots=2, quota=4, valid_until_s=FOREVER_S, **options):
    pool = ServicePool.from_config(Service("stock"), PoolOptions(**options))
    names = SERVERS[:servers] if servers <= 3 else [f"s{n}" for n in range(servers)]
    pool.set_servers([ServerView(name) for name in names], 0.0)
    pool.set_permits(Permits(dict.fromkeys(names, slots), quota, valid_until_s))
    return pool


def make_request(name, key="short", deadline_s=100.0, idempotent=True):
    return PoolRequest(name, key, f"print-{name}", deadline_s, idempotent)


def end(pool, dispatch, now_s, outcome=DispatchOutcome.OK, duration_s=0.01, **report):
    return pool.finish(dispatch.dispatch_id, DispatchReport(outcome, duration_s, **report), now_s)


def warm_up(pool, count, key="one", duration_s=0.01):
    """Run requests one by one, to record durations and to fill the hedge budget."""
    now_s = 0.0
    for number in range(count):
        assert pool.submit(make_request(f"w{number}", key), now_s).is_ok()
        (dispatch,) = pool.next_dispatches(now_s)
        now_s += duration_s
        end(pool, dispatch, now_s, duration_s=duration_s)
    return now_s


def start(pool, now_s, name="a", **parts):
    """Submit a request that the pool starts at once, and return its dispatch."""
    assert pool.submit(make_request(name, **parts), now_s).is_ok()
    (dispatch,) = pool.next_dispatches(now_s)
    return dispatch
