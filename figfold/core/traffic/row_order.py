"""Order of the rows that a backend server has written under its id.

The versions of the store order what it has performed. A write that got no answer may be performed
seconds later, after rows that its server wrote after it, so that the server's own count of its rows
goes before the versions.
"""

# Longest time after which the store performs a write that got no answer.
LATE_WRITE_S = 10.0


def is_earlier_row(record, known, known_age_s):
    """Return whether a row was written before the known one.

    Parameters
    ----------
    record, known : ServerRecord
        Rows of the same id.
    known_age_s : float
        Time since the known row was read.
    """
    if _are_counted_alike(record, known) and record.sequence != known.sequence:
        return record.sequence < known.sequence
    return record.row_version < known.row_version or is_late_write(record, known, known_age_s)


def is_late_write(record, known, known_age_s):
    """Return whether a row was written before the known one, though it was performed later.

    See `is_earlier_row`.
    """
    if _are_counted_alike(record, known):
        return record.sequence < known.sequence
    # A clock that was set back gives a new process an earlier start than that of the former one.
    # Likewise, a process of unknown start with a lower count may be a new one.
    is_earlier_process = record.started_ms < known.started_ms
    is_before_leaving = (
        not record.started_ms
        and not known.started_ms
        and known.is_leaving
        and None not in (record.sequence, known.sequence)
        and record.sequence < known.sequence
    )
    return (is_earlier_process or is_before_leaving) and known_age_s < LATE_WRITE_S


def _are_counted_alike(record, known):
    """Return whether the same process has numbered both rows."""
    is_same_process = record.started_ms == known.started_ms != 0
    return is_same_process and None not in (record.sequence, known.sequence)
