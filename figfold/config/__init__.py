"""Settings: INI files, the options with their defaults, and a typed class for each section."""
