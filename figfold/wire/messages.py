"""Typed messages that entries send each other."""

from attrs import frozen

from figfold.core.codes import Code
from figfold.core.entries import KnownEntry
from figfold.core.model import EntryReport
from figfold.core.traffic.fleet import FleetUpdate


@frozen
class Report:
    """What the sender says of itself, and which other entries it knows."""

    report: EntryReport
    known_entries: tuple[KnownEntry, ...] = ()


@frozen
class PlanRequest:
    """Asks for the plan of a version."""

    version: int


@frozen
class PlanReply:
    """The stored head row and plan body, both empty when the sender lacks that plan."""

    found: bool
    head: bytes = b""
    body: bytes = b""


@frozen
class KeyQuery:
    """Asks what became of one claim of an idempotency key."""

    service: str
    key: str
    nonce: str


@frozen
class KeyReply:
    """State of a booking at the sender, as text."""

    state: str


@frozen
class ErrorReply:
    """Why the sender did not answer a request."""

    code: Code
    text: str = ""


@frozen
class KnowledgeRequest:
    """Asks for what the sender does not know of the store's rows.

    Attributes
    ----------
    configuration_version : int
        The version in force at the sender, zero for none.
    generation, incarnation : int
        Of the fleet as the asked entry last told it; zero asks for everything.
    """

    configuration_version: int
    generation: int = 0
    incarnation: int = 0


@frozen
class KnowledgeReply:
    """What an entry knows of the store's rows, and how old that is.

    Attributes
    ----------
    configuration : bytes
        A later configuration as the operator wrote it, or nothing.
    news : FleetNews
    age_s : float
        Since the rows of the backend servers were read from the store.
    """

    configuration: bytes
    news: FleetUpdate
    incarnation: int
    age_s: float


Message = Report | PlanRequest | PlanReply | KeyQuery | KeyReply | ErrorReply
Message = Message | KnowledgeRequest | KnowledgeReply
