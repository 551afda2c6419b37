"""Line fits and processor-time measurements for the capacity slopes."""

import time

from attrs import asdict, frozen

US_PER_S = 1_000_000
REPEATS = 3


@frozen
class Slope:
    """Measured points and the straight line through them.

    Attributes
    ----------
    name, unit : str
        Measured quantity and its unit.
    variable : str
        Independent variable.
    points : tuple[tuple[float, float], ...]
        Pairs of the variable and the measured value.
    slope, intercept : float
        Least-squares fit; the slope is zero for a single point.
    """

    name: str
    unit: str
    variable: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float

    @classmethod
    def from_points(cls, name, unit, variable, points):
        """Fit a straight line through the points."""
        points = tuple(sorted(points))
        return cls(name, unit, variable, points, *fit_line(points))

    def value_at(self, amount):
        """Return the value of the fitted line, which extrapolates beyond the points."""
        return self.intercept + self.slope * amount

    def as_json(self):
        """Return the slope as a JSON object."""
        return asdict(self)

    def as_line(self):
        """Return the slope as a line of the table."""
        points = "  ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        fit = f"{self.intercept:.4g} + {self.slope:.4g} x"
        return f"{self.name} [{self.unit}] by {self.variable} | {fit} | {points}"


def fit_line(points):
    """Return slope and intercept of the least-squares line through the points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def cost_us(calls, work, *arguments):
    """Return the processor time of one call in microseconds, the minimum of several repeats."""
    costs = []
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(calls):
            work(*arguments)
        costs.append((time.process_time() - started) / calls * US_PER_S)
    return min(costs)
