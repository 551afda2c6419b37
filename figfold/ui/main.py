"""The ``figfold`` command."""

import os
import sys
import warnings

# Settings contain only IP addresses, so eventlet's DNS resolver is not needed.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# Must run before the import of any module that uses sockets.
eventlet.monkey_patch()

from figfold.ui.cli import run  # noqa: E402
from figfold.ui.output import ExitCode  # noqa: E402

INTERRUPTED = 130


def main():
    """Run the command line of the process and exit with its exit code."""
    try:
        code = run(sys.argv[1:])
        sys.stdout.flush()
    except KeyboardInterrupt:
        code = INTERRUPTED
    except BrokenPipeError:
        # The reader closed the pipe. Without this, Python's flush at exit would fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.REFUSED
    sys.exit(int(code))


if __name__ == "__main__":
    main()
