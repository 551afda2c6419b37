"""Types of the messages that entries send each other."""

from attrs import frozen

from figfold.core.codes import Code
from figfold.core.entries import KnownEntry
from figfold.core.model import EntryReport
from figfold.core.quotas.messages import QuotaReply, QuotaRequest
from figfold.core.traffic.fleet import FleetUpdate


@frozen
class Report:
    """The sender's own report, and some of the other entries that it knows."""

    report: EntryReport
    known_entries: tuple[KnownEntry, ...] = ()


@frozen
class PlanRequest:
    """Request for the plan of a version."""

    version: int


@frozen
class PlanReply:
    """The stored head row and plan body, both empty when the sender does not have that plan."""

    found: bool
    head: bytes = b""
    body: bytes = b""


@frozen
class KeyQuery:
    """Request for the state of one claim of an idempotency key."""

    service: str
    key: str
    nonce: str


@frozen
class KeyReply:
    """State of the claim at the sender, as text."""

    state: str


@frozen
class ErrorReply:
    """Reply to a request that the sender could not answer."""

    code: Code
    text: str = ""


@frozen
class KnowledgeRequest:
    """Request for rows of the store that have changed and that the sender does not have yet.

    Attributes
    ----------
    configuration_version : int
        Version of the configuration in force at the sender, zero for none.
    generation, incarnation : int
        Values of the last `KnowledgeReply` from the same peer, which answers with the changes
        since then; zero requests all servers.
    """

    configuration_version: int
    generation: int = 0
    incarnation: int = 0


@frozen
class KnowledgeReply:
    """Rows of the store that have changed, as the sender last read them, and their ages.

    Attributes
    ----------
    configuration : bytes
        A later configuration as the operator wrote it; nothing if there is none or if it is too
        large for a message.
    configuration_version : int
        Version of the configuration in force at the sender, zero for none.
    fleet_changes : FleetUpdate
        Changed and removed backend servers, and the evacuated places.
    incarnation : int
        Start of the sender's process, which numbers its generations anew.
    servers_age_s, operator_age_s : float
        Seconds from the read of the rows of the backend servers and of the operator to the reply.
    held_s : float
        Seconds for which the sender has waited for a change before it replied.
    """

    configuration: bytes
    fleet_changes: FleetUpdate
    incarnation: int
    servers_age_s: float
    operator_age_s: float
    held_s: float = 0.0
    configuration_version: int = 0


@frozen
class ProbeRequest:
    """Request to send a report to the named entry and to return its reply."""

    name: str


@frozen
class MembersRequest:
    """Request for all that the receiver knows of the entries."""


@frozen
class MembersReply:
    """All that the sender knows of the entries, itself included."""

    entries: tuple[KnownEntry, ...]


Message = Report | PlanRequest | PlanReply | KeyQuery | KeyReply | ErrorReply
Message = Message | KnowledgeRequest | KnowledgeReply
Message = Message | ProbeRequest | MembersRequest | MembersReply
Message = Message | QuotaRequest | QuotaReply
