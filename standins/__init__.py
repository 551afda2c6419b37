"""Stand-ins for the outside systems, for tests, the demo and the bench."""

import os
import warnings

# Both come before any module of the package imports eventlet. Addresses are IP numbers, so that
# its own resolver is not needed.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
