"""Takes changed settings while the entry runs, after a signal or without one."""

import os

from attrs import define

from figfold.config.gateway_settings import load_gateway_settings

CHECK_INTERVAL_S = 2.0  # Between two looks at whether the file has changed.


@define(eq=False)
class SettingsReload:
    """Watches the settings file of a process."""

    path: str
    process: object
    log: object
    _stamp: tuple = ()

    @classmethod
    def from_config(cls, path, process, log):
        """Return a watch that takes the file as it is now for known."""
        return cls(path, process, log, _stamp_of(path))

    def check(self):
        """Reload the settings if the file has changed since the last look."""
        stamp = _stamp_of(self.path)
        if stamp != self._stamp:
            self.reload("file-changed")

    def reload(self, why):
        """Load the file and put it in force, whole or not at all."""
        self._stamp = _stamp_of(self.path)
        loaded = load_gateway_settings(self.path)
        if loaded.is_err():
            reasons = [str(failure) for failure in loaded.err()]
            self.log.bind(why=why, reasons=reasons).warning("reload-refused")
            return False
        fixed = self.process.reload(loaded.ok())
        if fixed:
            reasons = [f"{name} needs a restart" for name in fixed]
            self.log.bind(why=why, reasons=reasons).warning("reload-refused")
            return False
        self.log.bind(why=why).info("reloaded")
        return True


def _stamp_of(path):
    try:
        status = os.stat(path)
    except OSError:
        # A file that is being replaced is looked at again the next time.
        return ()
    return status.st_mtime_ns, status.st_size, status.st_ino
