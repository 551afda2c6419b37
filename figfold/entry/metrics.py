"""Counters and latency histograms, and their text format for metric collectors."""

from collections import Counter

from attrs import Factory, define
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120 * 1_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)


@define
class Metrics:
    """All counters by name and labels, and latency histograms by name and service."""

    value_by_counter: Counter = Factory(Counter)
    histogram_by_key: dict[tuple[str, str], HdrHistogram] = Factory(dict)

    def count(self, counter, amount=1, **labels):
        """Add to the counter of this name and these labels."""
        self.value_by_counter[counter, tuple(sorted(labels.items()))] += amount

    def count_code(self, code, **labels):
        """Count one refusal or failure under its result code."""
        self.count("results", code=str(int(code)), name=code.name.lower(), **labels)

    def record(self, name, service, duration_s):
        """Record a duration in the histogram of this name and service."""
        histogram = self.histogram_by_key.get((name, service))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histogram_by_key[name, service] = histogram
        value = int(duration_s * US_PER_S)
        histogram.record_value(min(max(value, LOWEST_US), HIGHEST_US))

    def render(self, gauges=()):
        """Return all values as text.

        Parameters
        ----------
        gauges : iterable of tuple[str, dict[str, str], float]
            Name, labels and current value.
        """
        lines = [
            _line(f"figfold_{name}_total", labels, value)
            for (name, labels), value in sorted(self.value_by_counter.items())
        ]
        lines += [
            _line(f"figfold_{name}", tuple(sorted(labels.items())), value)
            for name, labels, value in gauges
        ]
        for (name, service), histogram in sorted(self.histogram_by_key.items()):
            lines += _histogram_lines(name, service, histogram)
        return "\n".join(lines) + "\n"


def _histogram_lines(name, service, histogram):
    metric = f"figfold_{name}_seconds"
    lines = [
        _line(
            metric,
            (("quantile", str(quantile / 100)), ("service", service)),
            histogram.get_value_at_percentile(quantile) / US_PER_S,
        )
        for quantile in QUANTILES
    ]
    lines.append(_line(f"{metric}_count", (("service", service),), histogram.total_count))
    return lines


def _line(name, labels, value):
    text = ",".join(f'{label}="{_escape(content)}"' for label, content in labels)
    return f"{name}{{{text}}} {value}" if text else f"{name} {value}"


def _escape(content):
    return str(content).replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
