"""Programs that start whole deployments on loopback and measure them."""

import os
import warnings

# Both must be set before any module of the package imports eventlet. Addresses are always given as
# IP addresses, so eventlet's own DNS resolver is not needed.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
