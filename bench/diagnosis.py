"""Report sections that list single requests with all their attempts."""

from bench.figures import format_table
from figfold.core.codes import Code

# Maximum number of requests in a section.
MAX_REQUESTS = 40
# Numbers of first and last attempts of a request that are listed; those between are counted.
FIRST_ATTEMPTS = 4
LAST_ATTEMPTS = 3
COLUMNS = ("due at s", "stream", "end", "latency ms", "attempts")


def format_requests(title, samples):
    """Return a section of a report with one row for each sampled request.

    Each attempt shows its start in milliseconds since the first attempt, the entry, the verdict
    and result code, its duration, and the time to the deadline at its start.
    """
    shown = sorted(samples, key=lambda sample: sample["at_s"])[:MAX_REQUESTS]
    rows = [_cells(sample) for sample in shown]
    heading = f"## {title}: {len(samples)} requests"
    if len(shown) < len(samples):
        heading += f", the first {len(shown)}"
    return f"{heading}\n\n{format_table(COLUMNS, rows)}" if rows else heading


def _cells(sample):
    attempts = "; ".join(_attempt_texts(sample["traces"]))
    latency = f"{sample['latency_ms']:.0f}"
    return (f"{sample['at_s']:.3f}", sample["stream"], sample["verdict"], latency, attempts)


def _attempt_texts(traces):
    texts = [_attempt_text(trace) for trace in traces]
    left_out = len(texts) - FIRST_ATTEMPTS - LAST_ATTEMPTS
    if left_out > 0:
        texts[FIRST_ATTEMPTS:-LAST_ATTEMPTS] = [f"{left_out} more"]
    return texts


def _attempt_text(trace):
    code = f" E{trace['code']} {_code_name(trace['code'])}" if trace["code"] else ""
    return (
        f"at {trace['at_ms']:.0f} {trace['entry']} {trace['verdict']}{code} "
        f"in {trace['took_ms']:.0f}, {trace['left_ms']:.0f} left"
    )


def _code_name(number):
    return next((code.name for code in Code if code == number), "unknown code")
