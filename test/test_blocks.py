import unittest
from ipaddress import IPv4Address, ip_network

from hypothesis import given
from hypothesis import strategies as st

from figfold.core.blocks import BlockMap
from figfold.core.codes import Code
from figfold.core.model import Topology

# Addresses from two narrow ranges, so that blocks are often adjacent or overlap.
BLOCKS = st.builds(
    lambda start, length: f"{IPv4Address(start >> (32 - length) << (32 - length))}/{length}",
    st.integers(0, 255) | st.integers((1 << 32) - 256, (1 << 32) - 1),
    st.integers(22, 32),
)


class BlockMapTest(unittest.TestCase):
    @given(st.lists(st.tuples(BLOCKS, st.sampled_from(["bne", "tsv"])), max_size=8))
    def test_regions_match_a_linear_scan_of_all_blocks(self, blocks):
        networks = [(ip_network(block), region) for block, region in blocks]
        overlap = any(
            networks[i][0].overlaps(networks[j][0]) for i in range(len(networks)) for j in range(i)
        )
        read = BlockMap.from_blocks(iter(blocks))
        if overlap:
            self.assertEqual(Code.SETTINGS_DUPLICATE, read.unwrap_err().code)
            return
        block_map = read.unwrap()
        for number in [*range(0, 2048, 3), *range((1 << 32) - 1024, 1 << 32, 3)]:
            address = IPv4Address(number)
            expected = next((name for net, name in networks if address in net), None)
            self.assertEqual(expected, block_map.find_region(str(address)))

    def test_bad_blocks_are_refused(self):
        for block in (
            "10.0.0.1/24",
            "10.0.0.0",
            "10.0.0.0/33",
            "10.0.0/8",
            "",
            "::/8",
            "1.2.3.4/x",
        ):
            failure = BlockMap.from_blocks([(block, "bne")]).unwrap_err()
            self.assertEqual((Code.SETTINGS_BAD_VALUE, block), (failure.code, failure.value))

    def test_addresses_that_are_not_ipv4_have_no_region(self):
        block_map = BlockMap.from_blocks([("0.0.0.0/0", "bne")]).unwrap()
        self.assertEqual("bne", block_map.find_region("255.255.255.255"))
        for address in ("", "::1", "1.2.3", "1.2.3.256", "01.2.3.4", "host", "1.2.3.4 "):
            self.assertIsNone(block_map.find_region(address))

    def test_no_address_has_a_region_in_an_empty_map(self):
        self.assertIsNone(Topology({}, {}, {}).blocks.find_region("10.127.0.1"))


if __name__ == "__main__":
    unittest.main()
