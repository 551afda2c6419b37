"""Reads regions, places, services and links, and checks that they are consistent."""

from ipaddress import IPv4Network

from figfold.config.ini_file import suggest_name
from figfold.config.section_reader import NAME_PATTERN, SectionReader
from figfold.config.section_settings import LinkSettings
from figfold.core.blocks import BlockMap, is_block
from figfold.core.codes import Code
from figfold.core.model import Place, Region, Service, Topology

DEMAND_TOLERANCE_PERCENT = 0.001


def read_topology(options):
    """Return the topology; failures are added to the option set."""
    regions = [_read_region(section) for section in _sections(options, "region")]
    places = [_read_place(section) for section in _sections(options, "place")]
    services = [_read_service(section) for section in _sections(options, "service")]
    topology = Topology(
        region_by_name={region.name: region for region in regions},
        place_by_name={place.name: place for place in places},
        service_by_name={service.name: service for service in services},
        blocks=_read_blocks(options),
    )
    _check_kinds(options, topology)
    _check_places(options, topology)
    _check_services(options, topology)
    _check_demand(options, topology)
    return topology


def read_links(options, topology):
    """Return the capacities of the links; failures are added to the option set."""
    default = SectionReader(options, "links").integer("bits_per_s")
    bits_per_s_by_pair = {}
    for section in _sections(options, "link"):
        pair = section.section.split()[1:]
        _check_link(section, pair, topology, bits_per_s_by_pair)
        bits_per_s_by_pair[frozenset(pair)] = section.integer("bits_per_s")
    return LinkSettings(default, bits_per_s_by_pair)


def _sections(options, kind):
    return [SectionReader(options, section) for section in options.sections_of(kind)]


def _name_from_header(section):
    name = section.section.split()[1]
    if not NAME_PATTERN.fullmatch(name):
        _add_section_failure(section, "not a name", "use letters, digits, - and _")
    return name


def _add_section_failure(section, message, remedy):
    options = section.options
    options.add_section_failure(section.section, Code.SETTINGS_BAD_VALUE, message, remedy)


def _read_region(section):
    return Region(name=_name_from_header(section), demand_percent=section.percent("demand_percent"))


def _read_place(section):
    return Place(name=_name_from_header(section), region=section.name("region"))


def _read_service(section):
    return Service(
        name=_name_from_header(section),
        endpoints_by_place=section.counts("endpoints"),
        slots=section.integer("slots", 1, 100_000),
        connections=section.integer("connections", 1, 100_000),
        idempotent_methods=section.methods("idempotent"),
        deadline_s=section.milliseconds("deadline_ms"),
        body_limit_bytes=section.integer("body_limit_bytes"),
    )


def _check_kinds(options, topology):
    by_kind = {
        "region": topology.region_by_name,
        "place": topology.place_by_name,
        "service": topology.service_by_name,
    }
    for kind, by_name in by_kind.items():
        if not by_name:
            message, remedy = f"no {kind} is configured", f"add a section [{kind} NAME]"
            options.add_section_failure(kind, Code.SETTINGS_MISSING, message, remedy)


def _check_places(options, topology):
    for place in topology.place_by_name.values():
        if place.region and place.region not in topology.region_by_name:
            section = SectionReader(options, f"place {place.name}")
            remedy = suggest_name(place.region, list(topology.region_by_name))
            section.add_failure("region", "unknown region", remedy)


def _check_services(options, topology):
    for service in topology.service_by_name.values():
        section = SectionReader(options, f"service {service.name}")
        for place in service.endpoints_by_place:
            if place not in topology.place_by_name:
                remedy = suggest_name(place, list(topology.place_by_name))
                section.add_failure("endpoints", f"unknown place {place}", remedy)
        if section.words("endpoints") and not sum(service.endpoints_by_place.values()):
            section.add_failure("endpoints", "no backend server at any place", "write bne-north:3")


def _check_demand(options, topology):
    regions = topology.region_by_name.values()
    total = sum(region.demand_percent for region in regions)
    if regions and abs(total - 100.0) > DEMAND_TOLERANCE_PERCENT:
        section = SectionReader(options, f"region {list(regions)[-1].name}")
        section.add_failure("demand_percent", f"the regions' sum is {total:g}", "make the sum 100")


def _read_blocks(options):
    # There can be more than a million blocks: they are streamed region by region, and only the
    # arrays of the map stay in memory.
    built = BlockMap.from_blocks(_valid_blocks(options, _report_invalid_block))
    if built.is_ok():
        return built.ok()
    # BlockMap reports only the first overlap; operators need all of them.
    if not _report_overlaps(options):
        options.failures.append(built.err())
    return BlockMap.empty()


def _valid_blocks(options, on_invalid):
    for section in _sections(options, "region"):
        region = section.section.split()[1]
        for block in section.words("caller_blocks"):
            if is_block(block):
                yield block, region
            else:
                on_invalid(section, block)


def _report_invalid_block(section, block):
    message = f"{block} is not an address block"
    section.add_failure("caller_blocks", message, "write for example 10.0.0.0/8, host bits zero")


def _ignore_invalid_block(_section, _block):
    """Skip an invalid block, which was already reported in the first pass."""


def _report_overlaps(options):
    """Add a failure for every block that overlaps another one; return whether there is any."""
    valid = _valid_blocks(options, _ignore_invalid_block)
    blocks = sorted((IPv4Network(block), region) for block, region in valid)
    count_before = len(options.failures)
    last, last_region = None, None
    for block, region in blocks:
        if last is not None and block.subnet_of(last):
            section = SectionReader(options, f"region {region}")
            message = f"{block} overlaps {last} of region {last_region}"
            section.add_failure("caller_blocks", message, "give every address to one region, once")
        else:
            last, last_region = block, region
    return len(options.failures) > count_before


def _check_link(section, pair, topology, bits_per_s_by_pair):
    known = list(topology.region_by_name)
    for region in pair:
        if region not in known:
            _add_section_failure(section, f"unknown region {region}", suggest_name(region, known))
    if len(set(pair)) == 1:
        _add_section_failure(section, "a link joins two regions", "name two of them")
    if frozenset(pair) in bits_per_s_by_pair:
        _add_section_failure(section, "this link was already given", "keep one of them")
