"""Settings of each section as a typed attrs class; ``defaults.ini`` describes each option."""

from urllib.parse import urlsplit

from attrs import field, frozen

from figfold.core.model import Topology

UNCONFIRMED_READS = ("refuse", "serve")
LOG_FORMATS = ("text", "json")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@frozen
class EntrySettings:
    """Name, place and addresses of one entry, and the limits of its caller port."""

    name: str
    place: str
    address: str
    peer_address: str
    admin_address: str
    advertise_address: str
    advertise_peer_address: str
    advertise_admin_address: str
    stop_grace_s: float
    answer_buffer_bytes: int
    connection_limit: int

    @classmethod
    def from_config(cls, section):
        """Read the section; addresses to advertise default to the ones listened on."""
        address = section.address("address", lowest_port=0)
        peer_address = section.address("peer_address", lowest_port=0)
        admin_address = section.address("admin_address", lowest_port=0)
        return cls(
            name=section.name("name"),
            place=section.name("place"),
            address=address,
            peer_address=peer_address,
            admin_address=admin_address,
            advertise_address=section.address("advertise_address") or address,
            advertise_peer_address=section.address("advertise_peer_address") or peer_address,
            advertise_admin_address=section.address("advertise_admin_address") or admin_address,
            stop_grace_s=section.seconds("stop_grace_s"),
            answer_buffer_bytes=section.integer("answer_buffer_bytes", 1024),
            connection_limit=section.integer("connection_limit", 1),
        )


@frozen
class PlatformSettings:
    """URL of the platform, and limits of the requests to it."""

    url: str
    timeout_s: float
    list_interval_s: float
    max_connections: int

    @classmethod
    def from_config(cls, section):
        """Read the section; the URL must be http or https and have a host."""
        url = section.text("url").rstrip("/")
        if url and not _is_http_url(url):
            section.add_failure("url", "not an HTTP URL", "write for example http://10.0.0.1:7000")
        return cls(
            url=url,
            timeout_s=section.seconds("timeout_s"),
            list_interval_s=section.seconds("list_interval_s"),
            max_connections=section.integer("max_connections", 1),
        )


def _is_http_url(url):
    try:
        parts = urlsplit(url)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


@frozen
class PlanSettings:
    """How an entry refreshes its plan, and what it does while the plan is unconfirmed."""

    refresh_interval_s: float
    confirm_ttl_s: float
    unconfirmed_reads: str

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(
            refresh_interval_s=section.seconds("refresh_interval_s"),
            confirm_ttl_s=section.seconds("confirm_ttl_s"),
            unconfirmed_reads=section.choice("unconfirmed_reads", UNCONFIRMED_READS),
        )


@frozen
class LookupSettings:
    """How long callers may cache the answer to a look-up."""

    ttl_ms: int

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(ttl_ms=section.integer("ttl_ms", 1))


@frozen
class SeatSettings:
    """Leases by which the entries of a place share its cap."""

    count: int
    short_ttl_s: float
    short_renew_s: float
    long_ttl_s: float
    long_renew_s: float
    margin_s: float

    @classmethod
    def from_config(cls, section):
        """Read the section; a lease must be renewed before its duration less the margin ends."""
        settings = cls(
            count=section.integer("count", 1, 64),
            short_ttl_s=section.seconds("short_ttl_s"),
            short_renew_s=section.seconds("short_renew_s"),
            long_ttl_s=section.seconds("long_ttl_s"),
            long_renew_s=section.seconds("long_renew_s"),
            margin_s=section.seconds("margin_s"),
        )
        if settings.short_renew_s + settings.margin_s >= settings.short_ttl_s:
            section.add_failure(
                "short_renew_s", "not below short_ttl_s - margin_s", "renew more often"
            )
        if settings.long_renew_s + settings.margin_s >= settings.long_ttl_s:
            section.add_failure(
                "long_renew_s", "not below long_ttl_s - margin_s", "renew more often"
            )
        if settings.long_ttl_s < settings.short_ttl_s:
            section.add_failure("long_ttl_s", "below short_ttl_s", "make it the longer of the two")
        return settings


@frozen
class BookingSettings:
    """Limits for claiming idempotency keys and for keeping their answers."""

    claim_timeout_s: float
    kept_answer_limit_bytes: int

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(
            claim_timeout_s=section.seconds("claim_timeout_s"),
            kept_answer_limit_bytes=section.integer("kept_answer_limit_bytes"),
        )


@frozen
class QueueSettings:
    """Limits of the queue of one service at one entry."""

    limit: int
    long_share_percent: float

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(
            limit=section.integer("limit", 0, 100_000),
            long_share_percent=section.percent("long_share_percent"),
        )


@frozen
class BudgetSettings:
    """Budget of hedged or retried requests."""

    percent: float

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(percent=section.percent("percent"))


@frozen
class ServerSettings:
    """How an entry checks and rates backend servers, and keeps connections to them."""

    slow_factor: float
    slow_start_s: float
    idle_connection_s: float
    poll_interval_s: float

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(
            slow_factor=section.number("slow_factor", 1.0),
            slow_start_s=section.seconds("slow_start_s", 0.0),
            idle_connection_s=section.seconds("idle_connection_s"),
            poll_interval_s=section.seconds("poll_interval_s"),
        )


@frozen
class PeerSettings:
    """Exchange of messages between entries, and failure detection."""

    interval_s: float
    fanout: int
    suspect_after_s: float
    timeout_s: float
    allowed_networks: tuple[str, ...]

    @classmethod
    def from_config(cls, section):
        """Read the section; one missed exchange must not make a peer suspected."""
        settings = cls(
            interval_s=section.seconds("interval_s"),
            fanout=section.integer("fanout", 1, 64),
            suspect_after_s=section.seconds("suspect_after_s"),
            timeout_s=section.seconds("timeout_s"),
            allowed_networks=section.networks("allowed_networks"),
        )
        if settings.suspect_after_s <= settings.interval_s:
            section.add_failure(
                "suspect_after_s", "not above interval_s", "allow one missed exchange"
            )
        return settings


@frozen
class AdminSettings:
    """Who may use the admin endpoint."""

    allowed_networks: tuple[str, ...]

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(allowed_networks=section.networks("allowed_networks"))


@frozen
class LinkSettings:
    """Capacities of the links between regions, in bits per second; zero sets no limit.

    Attributes
    ----------
    bits_per_s_by_pair : dict[frozenset[str], int]
        Links that differ from ``bits_per_s``, by the two regions that they join.
    """

    bits_per_s: int
    bits_per_s_by_pair: dict[frozenset[str], int] = field(factory=dict)

    def bits_per_s_between(self, one, other):
        """Return the capacity of the link between two regions, each way."""
        return self.bits_per_s_by_pair.get(frozenset((one, other)), self.bits_per_s)


@frozen
class QuarantineSettings:
    """How long a request that crashed backend servers is quarantined."""

    expiry_s: float

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(expiry_s=section.seconds("expiry_s"))


@frozen
class LogSettings:
    """Form and level of the log."""

    format: str
    level: str

    @classmethod
    def from_config(cls, section):
        """Read the section."""
        return cls(
            format=section.choice("format", LOG_FORMATS),
            level=section.choice("level", LOG_LEVELS),
        )


@frozen
class Settings:
    """All settings; ``entry`` and ``platform`` are None if their sections are missing."""

    entry: EntrySettings | None
    platform: PlatformSettings | None
    topology: Topology
    links: LinkSettings
    plan: PlanSettings
    lookup: LookupSettings
    seats: SeatSettings
    bookings: BookingSettings
    queue: QueueSettings
    hedge: BudgetSettings
    retry: BudgetSettings
    servers: ServerSettings
    peers: PeerSettings
    admin: AdminSettings
    quarantine: QuarantineSettings
    log: LogSettings
