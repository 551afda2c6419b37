"""Looks up the region of a caller's IPv4 address by binary search over address blocks."""

from array import array
from bisect import bisect_right
from ipaddress import IPv4Address

from result import Err, Ok, Result

from figfold.core.codes import Code, Failure

ADDRESS_BITS = 32
ADDRESS_END = 1 << ADDRESS_BITS
REGION_LIMIT = 1 << 16
# Region index of addresses that belong to no region.
NO_REGION = 0

# Octets and prefix lengths by their text, so that one look-up both checks and converts.
OCTET_BY_TEXT = {str(number): number for number in range(256)}
LENGTH_BY_TEXT = {str(number): number for number in range(ADDRESS_BITS + 1)}

# A parsed block is one integer that holds its first address, prefix length and region index, from
# high to low bits, so that a flat array of blocks sorts by address.
REGION_BITS = 16
PREFIX_BITS = 6
ADDRESS_SHIFT = REGION_BITS + PREFIX_BITS


class BlockMap:
    """Regions of callers by address block, as consecutive ranges of addresses.

    Attributes
    ----------
    starts : array of uint32
        First address of each range, in ascending order.
    region_indices : array of uint16
        Index in ``regions`` for each range.
    regions : list[str or None]
        Names of the regions; the first item, None, stands for no region.
    """

    def __init__(self, starts, region_indices, regions):
        self.starts = starts
        self.region_indices = region_indices
        self.regions = regions

    @classmethod
    def from_blocks(cls, blocks) -> Result["BlockMap", Failure]:
        """Build the map from pairs of CIDR text and region.

        Parameters
        ----------
        blocks : iterable of tuple[str, str]
            Blocks that do not overlap; blocks in ascending order need no sorted copy.
        """
        regions = [None]
        packed = _pack_blocks(blocks, regions)
        if packed.is_err():
            return packed
        ranges = _fill_ranges(packed.ok_value)
        if ranges.is_err():
            return ranges
        return Ok(cls(*ranges.ok_value, regions))

    @classmethod
    def empty(cls):
        """Return a map in which no address has a region."""
        return cls(array("I"), array("H"), [None])

    def find_region(self, address):
        """Return the region of an IPv4 address in text, or None."""
        try:
            number = _parse_address(address)
        except ValueError:
            return None
        index = bisect_right(self.starts, number) - 1
        return self.regions[self.region_indices[index]] if index >= 0 else None


def is_block(text):
    """Return whether the text is an IPv4 block in CIDR form without host bits."""
    try:
        _parse_block(text)
    except ValueError:
        return False
    return True


def _invalid_block(block, message, remedy):
    return Err(
        Failure(Code.SETTINGS_BAD_VALUE, message, remedy, field="caller_blocks", value=str(block))
    )


def _parse_address(text):
    """Return an IPv4 address as a number; raise ``ValueError`` on bad text."""
    # Several times faster than ``ipaddress``, which matters with a million blocks.
    first, second, third, fourth = text.split(".")
    try:
        return (
            OCTET_BY_TEXT[first] << 24
            | OCTET_BY_TEXT[second] << 16
            | OCTET_BY_TEXT[third] << 8
            | OCTET_BY_TEXT[fourth]
        )
    except KeyError:
        raise ValueError(text) from None


def _parse_block(block):
    """Return the first address and the prefix length; raise ``ValueError`` on bad text."""
    address, _, prefix = block.strip().partition("/")
    start = _parse_address(address)
    length = LENGTH_BY_TEXT.get(prefix)
    if length is None or start & ((1 << (ADDRESS_BITS - length)) - 1):
        raise ValueError(block)
    return start, length


def _pack_blocks(blocks, regions):
    """Return the blocks as a sorted array of packed integers and extend ``regions``."""
    index_by_region = {}
    packed = array("Q")
    is_sorted = True
    previous = -1
    for block, region in blocks:
        try:
            start, length = _parse_block(block)
        except ValueError:
            return _invalid_block(
                block, f"{block!r} is not an IPv4 block", "write it as 10.1.0.0/16"
            )
        index = index_by_region.get(region)
        if index is None:
            if len(regions) == REGION_LIMIT:
                return _invalid_block(region, "there are too many regions", "merge some")
            index = index_by_region[region] = len(regions)
            regions.append(region)
        value = start << ADDRESS_SHIFT | length << REGION_BITS | index
        is_sorted = is_sorted and value > previous
        previous = value
        packed.append(value)
    return Ok(packed if is_sorted else array("Q", sorted(packed)))


def _fill_ranges(packed):
    """Return the starts and region indices, filling each gap with a range of no region."""
    starts = array("I")
    region_indices = array("H")
    end = 0
    for value in packed:
        start = value >> ADDRESS_SHIFT
        length = value >> REGION_BITS & ((1 << PREFIX_BITS) - 1)
        index = value & (REGION_LIMIT - 1)
        if start < end:
            return _overlapping_block(start, length)
        if start > end:
            _append_range(starts, region_indices, end, NO_REGION)
        _append_range(starts, region_indices, start, index)
        end = start + (1 << (ADDRESS_BITS - length))
    if end < ADDRESS_END:
        _append_range(starts, region_indices, end, NO_REGION)
    return Ok((starts, region_indices))


def _append_range(starts, region_indices, start, index):
    # Adjacent ranges of one region are merged.
    if not region_indices or region_indices[-1] != index:
        starts.append(start)
        region_indices.append(index)


def _overlapping_block(start, length):
    block = f"{IPv4Address(start)}/{length}"
    return Err(
        Failure(
            Code.SETTINGS_DUPLICATE,
            f"the block {block} overlaps another one",
            "give each address to one region",
            field="caller_blocks",
            value=block,
        )
    )
