"""Matching of a request's route in a configuration of thousands of routes."""

import unittest
from random import Random

from figfold.core.traffic.configuration import (
    Configuration,
    Repeatability,
    Route,
    ServiceWeight,
)


class CountingText(str):
    """A path that counts how often parts of it are compared."""

    __slots__ = ("looked_at",)

    def __getitem__(self, key):
        self.looked_at = getattr(self, "looked_at", 0) + 1
        return str.__getitem__(self, key)

    def startswith(self, prefix):
        self.looked_at = getattr(self, "looked_at", 0) + 1
        return str.startswith(self, prefix)


def make_route(name, host, prefix):
    return Route(name, host, prefix, Repeatability.SAFE, (ServiceWeight("s", 1.0),))


def configuration_of(prefixes, host="h"):
    routes = {f"r{i}": make_route(f"r{i}", host, prefix) for i, prefix in enumerate(prefixes)}
    return Configuration(1, routes, {})


class MatchTest(unittest.TestCase):
    def test_longest_prefix_matches_as_by_a_look_at_all_routes(self):
        random = Random(1)
        names = ["a", "b", "ab", "abc"]
        for _ in range(200):
            prefixes = [
                "/" + "".join(f"{random.choice(names)}/" for _ in range(random.randrange(4)))
                for _ in range(random.randrange(1, 20))
            ]
            configuration = configuration_of(prefixes)
            for _ in range(10):
                depth = random.randrange(6)
                path = "/" + "/".join(random.choice(names) for _ in range(depth))
                matching = [one for one in prefixes if path.startswith(one)]
                route = configuration.match("h", path)
                self.assertEqual(route and route.prefix, max(matching, key=len, default=None))
                self.assertIsNone(configuration.match("other", path))

    # Each request was compared with the routes of its host one by one.
    def test_cost_does_not_grow_with_the_number_of_routes(self):
        random = Random(1)
        for count in (20, 2000):
            prefixes = [f"/{random.getrandbits(40):x}/" for _ in range(count)]
            configuration = configuration_of(prefixes)
            path = CountingText("/zz/1")
            self.assertIsNone(configuration.match("h", path))
            self.assertLessEqual(path.looked_at, 12, count)


if __name__ == "__main__":
    unittest.main()
