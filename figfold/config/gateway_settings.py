"""Settings of an entry on the users' platform, where routes and services are kept in the store."""

from attrs import frozen
from result import Err, Ok

from figfold.config.ini_file import suggest_name
from figfold.config.options import read_options
from figfold.config.section_reader import SectionReader
from figfold.config.section_settings import LogSettings, PeerSettings
from figfold.core.codes import Code

SECTION = "gateway"


@frozen
class GatewaySettings:
    """The ``[gateway]`` section, the regions of the data centres, and peer and log settings.

    Attributes
    ----------
    region_by_place : dict[str, str]
        The region of each data centre.
    revocation_bound_s : float
        Longest time for which a withdrawn API key may be accepted; 0 sets no bound.
    admission : bool
        Whether requests are held or refused while a service is short of room.
    region_balancing : bool
        Whether the shares of requests between regions follow demand and free capacity.
    limit_window_s, limit_overshoot, limit_slack : float
        Requests of an organisation beyond its limit that are tolerated in any window: a fraction of
        what the limit allows, and a number on top; over all entries.
    hedge_ratio : float
        Extra attempts per request of a service, over all entries; 0 leaves them to the budget of
        retries alone.
    """

    name: str
    place: str
    caller_address: str
    ready_address: str
    lookup_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    store_timeout_s: float
    server_read_interval_s: float
    configuration_wait_s: float
    stop_grace_s: float
    memory_mb: float
    lookup_ttl_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    revocation_bound_s: float
    hedge_ratio: float
    limit_window_s: float
    limit_overshoot: float
    limit_slack: float
    region_by_place: dict
    peers: PeerSettings
    log: LogSettings
    admission: bool = False
    region_balancing: bool = False

    @property
    def region(self):
        """The region of this entry's data centre."""
        return self.region_by_place[self.place]

    @classmethod
    def from_config(cls, section, region_by_place, peers, log):
        """Read the options of the section."""
        return cls(
            name=section.name("name"),
            place=section.name("place"),
            caller_address=section.address("caller_address"),
            ready_address=section.address("ready_address"),
            lookup_address=section.address("lookup_address"),
            peer_address=section.address("peer_address"),
            metrics_address=section.address("metrics_address"),
            store_address=section.address("store_address"),
            store_timeout_s=section.seconds("store_timeout_s"),
            server_read_interval_s=section.seconds("server_read_interval_s"),
            configuration_wait_s=section.seconds("configuration_wait_s"),
            stop_grace_s=section.seconds("stop_grace_s"),
            memory_mb=section.number("memory_mb", low=1.0),
            lookup_ttl_s=section.milliseconds("lookup_ttl_ms"),
            retry_ratio=section.number("retry_ratio", 0.0, 1.0),
            retry_window_s=section.seconds("retry_window_s"),
            retry_slack=section.number("retry_slack"),
            revocation_bound_s=section.number("revocation_bound_s"),
            hedge_ratio=section.number("hedge_ratio", 0.0, 1.0),
            limit_window_s=section.seconds("limit_window_s"),
            limit_overshoot=section.number("limit_overshoot", 0.0, 1.0),
            limit_slack=section.number("limit_slack"),
            region_by_place=region_by_place,
            peers=peers,
            log=log,
            admission=section.choice("admission", ("on", "off")) == "on",
            region_balancing=section.choice("region_balancing", ("on", "off")) == "on",
        )


def load_gateway_settings(path, overrides=()):
    """Load the settings of an entry on the users' platform.

    Returns
    -------
    Result[GatewaySettings, list[Failure]]
        The settings, or all faults that were found.
    """
    read = read_options(path, overrides)
    if read.is_err():
        return read
    options = read.unwrap()
    region_by_place = {
        section.split()[1]: SectionReader(options, section).name("region")
        for section in options.sections_of("place")
    }
    if not options.has(SECTION):
        message, remedy = "section [gateway] is missing", "add a section [gateway]"
        options.add_section_failure(SECTION, Code.SETTINGS_MISSING, message, remedy)
        return Err(options.failures)
    section = SectionReader(options, SECTION)
    settings = GatewaySettings.from_config(
        section,
        region_by_place,
        PeerSettings.from_config(SectionReader(options, "peers")),
        LogSettings.from_config(SectionReader(options, "log")),
    )
    if settings.place and settings.place not in region_by_place:
        section.add_failure(
            "place", "unknown place", suggest_name(settings.place, list(region_by_place))
        )
    return Err(options.failures) if options.failures else Ok(settings)
