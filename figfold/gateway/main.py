"""Entry point of the daemon on the users' platform."""

import os
import signal
import sys
import warnings

# Addresses are IP numbers, and greendns costs 8 MB; this is read when eventlet is imported.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from eventlet.event import Event  # noqa: E402
from loguru import logger  # noqa: E402

from figfold.config.gateway_settings import load_gateway_settings  # noqa: E402
from figfold.entry.loops import run_every  # noqa: E402
from figfold.gateway.events import EventLog  # noqa: E402
from figfold.gateway.process import GatewayProcess  # noqa: E402
from figfold.gateway.reload import CHECK_INTERVAL_S, SettingsReload  # noqa: E402

SETTINGS_VARIABLE = "FIGFOLD_BOOT"
EXIT_SETTINGS = 2


def main():
    """Run an entry until it is told to stop."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    loaded = load_gateway_settings(path)
    if loaded.is_err():
        for failure in loaded.err():
            print(f"figfoldd: {failure}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    settings = loaded.ok()
    event_log = EventLog.from_config(settings.name)
    event_log.start(settings.log.level)
    process = GatewayProcess.from_config(settings, logger, event_log)
    asked_to_stop = Event()

    def on_signal(_number, _frame):
        if not asked_to_stop.ready():
            asked_to_stop.send()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reload = SettingsReload.from_config(path, process, logger)
    signal.signal(signal.SIGHUP, lambda _number, _frame: eventlet.spawn_n(reload.reload, "signal"))
    process.start()
    eventlet.spawn_n(run_every, CHECK_INTERVAL_S, reload.check, "settings", process.metrics, logger)
    asked_to_stop.wait()
    process.stop()
    os._exit(0)


if __name__ == "__main__":
    main()
