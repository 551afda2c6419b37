"""Measured figures, their targets and tables."""

from attrs import frozen
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
COLUMNS = ("scenario", "figure", "value", "target", "result", "baseline", "load")


@frozen
class Figure:
    """One measured figure.

    Attributes
    ----------
    limit : float or None
        The target; None for a figure without one.
    is_floor : bool
        Whether the target is a minimum instead of a maximum.
    baseline : str
        The same figure with plain round robin.
    load : str
        The load, and other conditions of the measurement.
    """

    scenario: str
    name: str
    value: float
    unit: str
    limit: float | None = None
    is_floor: bool = False
    baseline: str = ""
    load: str = ""

    def is_met(self):
        """Return whether the figure meets its target; one without a target always does."""
        if self.limit is None:
            return True
        return self.value >= self.limit if self.is_floor else self.value <= self.limit

    def target_text(self):
        """Return the target as the table shows it."""
        if self.limit is None:
            return ""
        return f"{'at least' if self.is_floor else 'at most'} {self.limit:g} {self.unit}"

    def result_text(self):
        """Return whether the target was met, or by how much it was missed."""
        if self.limit is None:
            return ""
        if self.is_met():
            return "met"
        return f"MISSED by {abs(self.value - self.limit):.3g} {self.unit}"

    def cells(self):
        """Return the cells of the figure's row."""
        value = f"{_number(self.value)} {self.unit}".rstrip()
        texts = (self.target_text(), self.result_text(), self.baseline, self.load)
        return (self.scenario, self.name, value, *texts)


def histogram_of(values_ms):
    """Return a histogram in microseconds of durations in milliseconds."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for value_ms in values_ms:
        histogram.record_value(min(max(int(value_ms * US_PER_MS), LOWEST_US), HIGHEST_US))
    return histogram


def quantile_ms(values_ms, percent):
    """Return a quantile of durations in milliseconds; 0 if there are none."""
    values_ms = list(values_ms)
    if not values_ms:
        return 0.0
    return histogram_of(values_ms).get_value_at_percentile(percent) / US_PER_MS


def format_quantiles(values_ms):
    """Return median, p99 and number of durations as text."""
    values_ms = list(values_ms)
    p50, p99 = (quantile_ms(values_ms, percent) for percent in (50, 99))
    return f"p50 {p50:.1f} ms, p99 {p99:.1f} ms, n {len(values_ms)}"


def format_table(columns, rows):
    """Return a Markdown table."""
    lines = [f"| {' | '.join(columns)} |", f"|{'---|' * len(columns)}"]
    lines += [f"| {' | '.join(str(cell) for cell in row)} |" for row in rows]
    return "\n".join(lines)


def format_figures(figures):
    """Return the table of all figures."""
    return format_table(COLUMNS, [figure.cells() for figure in figures])


def _number(value):
    return f"{value:.0f}" if float(value).is_integer() else f"{value:.3g}"
