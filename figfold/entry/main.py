"""Entry point of the daemon ``figfoldd``."""

import json
import os
import signal
import sys
import warnings

# Settings give addresses as IP numbers, so greendns is not needed and would cost 8 MB. eventlet
# reads this variable when it is imported.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from attrs import frozen  # noqa: E402
from eventlet.event import Event  # noqa: E402

from figfold.config.settings import load_settings  # noqa: E402
from figfold.core.codes import Code, Failure  # noqa: E402
from figfold.entry.log_setup import configure_logging  # noqa: E402
from figfold.entry.process import EntryProcess  # noqa: E402
from figfold.ui.output import ExitCode, UserError, print_error, unwrap  # noqa: E402
from figfold.ui.parse import CommandDescription, parse_line, requires_values  # noqa: E402

PROGRAM = "figfoldd"


@frozen
class Arguments(CommandDescription):
    """The command line of the daemon."""

    settings: str


@requires_values
def run(*, settings):
    """Run an entry until it is told to stop.

    Parameters
    ----------
    settings : str
        The settings file.
    """
    return Arguments(settings)


def _run_entry(settings):
    log = configure_logging(settings.log, settings.entry.name)
    try:
        process = EntryProcess.from_config(settings, log)
    except OSError as error:
        field, remedy = "entry.address", "choose a free address"
        failure = Failure(Code.SETTINGS_BAD_VALUE, str(error), remedy, field=field)
        raise UserError.from_failure(failure) from error
    asked_to_stop = Event()

    def on_signal(_number, _frame):
        if not asked_to_stop.ready():
            asked_to_stop.send()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    process.start()
    print(json.dumps(process.ready_line()), flush=True)
    asked_to_stop.wait()
    process.stop()


def main():
    """Run the daemon from the command line."""
    try:
        arguments = parse_line(run, sys.argv[1:], PROGRAM)
        if arguments is not None:
            _run_entry(unwrap(load_settings(arguments.settings)))
    except UserError as error:
        print_error(error, program=PROGRAM)
        sys.exit(error.exit_code)
    sys.exit(ExitCode.OK)


if __name__ == "__main__":
    main()
