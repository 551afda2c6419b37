"""Settings: INI files, the options with their defaults, and typed views of the sections."""
