"""Client of the entries' admin endpoints, used by the command line."""

import json
from time import monotonic

import eventlet
import urllib3
from attrs import evolve, frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.model import Role
from figfold.core.plan import encode_head
from figfold.entry.answer_connection import HEAD_LIMIT_BYTES, make_pool_manager

REQUEST_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.2
ANSWER_LIMIT_BYTES = 4 << 20
MAX_CONCURRENT = 32
HTTP_OK = 200


@frozen
class EntryPlan:
    """Plan version that an entry has in force, or the reason why it is unknown.

    Attributes
    ----------
    version : int or None
        None if the entry did not answer.
    problem : str
        Why the entry does not have the expected plan; empty if it has.
    """

    name: str
    place: str
    admin_address: str
    version: int | None = None
    problem: str = "not asked yet"


def request_entry(address, method, path, body=None):
    """Send a request to an admin endpoint and return Ok(dict) or a failure."""
    try:
        with eventlet.Timeout(REQUEST_TIMEOUT_S):
            return _exchange(address, method, path, body)
    except eventlet.Timeout:
        return _unreachable(address, f"no answer within {REQUEST_TIMEOUT_S} s")
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return _unreachable(address, type(error).__name__)
    except (ValueError, RecursionError):
        return _unreachable(address, "the answer is not a JSON object")


def _exchange(address, method, path, body):
    with make_pool_manager(HEAD_LIMIT_BYTES + ANSWER_LIMIT_BYTES) as pools:
        response = pools.request(
            method,
            f"http://{address}{path}",
            body=body,
            retries=False,
            redirect=False,
            preload_content=False,
            timeout=REQUEST_TIMEOUT_S,
        )
        try:
            data = response.read(ANSWER_LIMIT_BYTES + 1)
        finally:
            response.close()
    if response.status != HTTP_OK:
        return _unreachable(address, f"status {response.status}")
    value = json.loads(data) if data else {}
    if not isinstance(value, dict):
        raise ValueError("not an object")
    return Ok(value)


def _unreachable(address, message):
    remedy = "check that the entry runs and allows this address"
    return Err(Failure(Code.ENTRY_UNREACHABLE, f"{address}: {message}", remedy))


def request_all(instances, method, path, send=request_entry):
    """Send a request to all entries concurrently and return the results by entry name."""
    pool = eventlet.GreenPool(MAX_CONCURRENT)

    def request_one(instance):
        if not instance.admin_address:
            return instance.name, _unreachable(instance.name, "no admin address is listed")
        return instance.name, send(instance.admin_address, method, path)

    return dict(pool.imap(request_one, instances))


def make_plan_sender(head, body):
    """Return a function that sends an accepted plan to entries, which may have lost the store."""
    payload = json.dumps({"head": encode_head(head).decode(), "body": body.decode()}).encode()

    def send(address, method, path):
        return request_entry(address, method, path, payload)

    return lambda entries: request_all(entries, "POST", "/plan/offer", send)


def entries_of(instances):
    """Return the entries among the instances, in order of place and name."""
    entries = [instance for instance in instances if instance.role is Role.ENTRY]
    return sorted(entries, key=lambda entry: (entry.place, entry.name))


def distribute_plan(
    head,
    list_instances,
    wait_s,
    send=request_entry,
    clock=monotonic,
    sleep=eventlet.sleep,
    known=None,
    send_plan=None,
):
    """Make every listed entry load a plan, and wait until all have it.

    Parameters
    ----------
    head : PlanHead
        The accepted plan.
    list_instances : callable
        Returns a Result of the platform's instances. Called in each round, because entries can
        start and stop meanwhile.
    wait_s : float
        The longest time to wait, in seconds.
    send : callable
        Sends a request to an admin endpoint, as `request_entry` does.
    clock, sleep : callable
        Return the time and wait, in seconds.
    known : Result or None
        An earlier list of instances, used while the list cannot be read.
    send_plan : callable or None
        Sends the plan to a list of entries, as `make_plan_sender` returns.

    Returns
    -------
    Result[tuple[EntryPlan, ...], Failure]
        One item for each entry of the latest list; Err if the list could never be read.
    """
    until = clock() + wait_s
    plan_by_name = {}
    listed = known
    while True:
        latest = list_instances()
        if latest.is_ok() or listed is None:
            listed = latest
        if listed.is_ok():
            entries = entries_of(listed.unwrap())
            plan_by_name = _run_round(head, entries, plan_by_name, send, send_plan)
            if all(not plan.problem for plan in plan_by_name.values()):
                break
        if clock() >= until:
            break
        sleep(POLL_INTERVAL_S)
    return listed.map(lambda _: tuple(plan_by_name.values()))


def _run_round(head, entries, plan_by_name, send, send_plan):
    pending = [entry for entry in entries if _needs_plan(plan_by_name.get(entry.name))]
    if send_plan is not None:
        send_plan(pending)
    request_all(pending, "POST", "/plan/refresh", send)
    status_by_name = request_all(pending, "GET", "/status", send)
    updated = {
        entry.name: _entry_plan(head, entry, status_by_name[entry.name]) for entry in pending
    }
    # Only entries in the latest list are kept.
    return {entry.name: updated.get(entry.name) or plan_by_name[entry.name] for entry in entries}


def _needs_plan(plan):
    return plan is None or bool(plan.problem)


def _entry_plan(head, entry, status):
    plan = EntryPlan(entry.name, entry.place, entry.admin_address)
    if status.is_err():
        return evolve(plan, problem=status.unwrap_err().message)
    version = status.unwrap().get("plan_version")
    if not isinstance(version, int):
        return evolve(plan, problem="its status has no plan version")
    if version < head.version:
        return evolve(plan, version=version, problem=f"still has version {version}")
    if version == head.version and status.unwrap().get("plan_digest") != head.digest:
        problem = f"has another plan as version {version}"
        return evolve(plan, version=version, problem=problem)
    return evolve(plan, version=version, problem="")
