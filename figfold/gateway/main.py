"""Entry point of the gateway daemon."""

import os
import signal
import sys
import warnings

# Until its handler is set, this signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# All addresses are numeric, and greendns takes 8 MB. eventlet reads this when it is imported.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from eventlet.event import Event  # noqa: E402
from loguru import logger  # noqa: E402

from figfold.config.gateway_settings import load_gateway_settings  # noqa: E402
from figfold.entry.loops import run_every  # noqa: E402
from figfold.gateway.event_log import EventLog  # noqa: E402
from figfold.gateway.process import GatewayProcess  # noqa: E402
from figfold.gateway.reload import CHECK_INTERVAL_S, SettingsReloader  # noqa: E402

SETTINGS_VARIABLE = "FIGFOLD_BOOT"
# Overrides the option `memory_mb`, for a platform that limits the memory of each process.
MEMORY_VARIABLE = "FIGFOLD_MEMORY_MB"
EXIT_BAD_SETTINGS = 2


def main():
    """Run an entry until SIGTERM or SIGINT."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    memory_mb = os.environ.get(MEMORY_VARIABLE, "")
    overrides = (f"gateway.memory_mb={memory_mb}",) if memory_mb else ()
    loaded = load_gateway_settings(path, overrides)
    if loaded.is_err():
        for failure in loaded.err():
            print(f"figfoldd: {failure}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = loaded.ok()
    event_log = EventLog.from_config(settings.name)
    event_log.start(settings.log.level)
    process = GatewayProcess.from_config(settings, logger, event_log)
    stop_requested = Event()

    def on_signal(_number, _frame):
        if not stop_requested.ready():
            stop_requested.send()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reloader = SettingsReloader.from_config(path, process, logger, overrides)
    signal.signal(
        signal.SIGHUP, lambda _number, _frame: eventlet.spawn_n(reloader.reload, "signal")
    )
    process.start()
    eventlet.spawn_n(
        run_every, CHECK_INTERVAL_S, reloader.check, "settings", process.metrics, logger
    )
    stop_requested.wait()
    process.stop()
    os._exit(0)


if __name__ == "__main__":
    main()
