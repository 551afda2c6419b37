"""Reloads the settings of a running entry, on a signal or when their file has changed."""

import os

from attrs import define

from figfold.config.gateway_settings import load_gateway_settings

CHECK_INTERVAL_S = 2.0  # Between two checks whether the file has changed.


@define(eq=False)
class SettingsReloader:
    """Watches the settings file of a process and puts changes in force.

    Attributes
    ----------
    overrides : tuple of str
        Options in the form ``SECTION.OPTION=VALUE``, which take precedence over the file.
    """

    path: str
    process: object
    log: object
    overrides: tuple = ()
    _loaded_stamp: tuple = ()

    @classmethod
    def from_config(cls, path, process, log, overrides=()):
        """Return a reloader that counts the current file as loaded."""
        return cls(path, process, log, overrides, _file_stamp(path))

    def check(self):
        """Reload the settings if the file has changed since the last load."""
        stamp = _file_stamp(self.path)
        if stamp != self._loaded_stamp:
            self.reload("file-changed")

    def reload(self, why):
        """Load the file and put all of it in force, or nothing; return whether it is in force."""
        self._loaded_stamp = _file_stamp(self.path)
        loaded = load_gateway_settings(self.path, self.overrides)
        if loaded.is_err():
            reasons = [str(failure) for failure in loaded.err()]
            self.log.bind(why=why, reasons=reasons).warning("reload-refused")
            return False
        needing_restart = self.process.reload(loaded.ok())
        if needing_restart:
            reasons = [f"{name} needs a restart" for name in needing_restart]
            self.log.bind(why=why, reasons=reasons).warning("reload-refused")
            return False
        self.log.bind(why=why).info("reloaded")
        return True


def _file_stamp(path):
    try:
        status = os.stat(path)
    except OSError:
        # The file may be in the middle of a replacement; the next check sees the new one.
        return ()
    return status.st_mtime_ns, status.st_size, status.st_ino
