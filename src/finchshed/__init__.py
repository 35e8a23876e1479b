"""finchshed: overload control for service call graphs with long-lived sessions.

The event loop library must not open an io_uring. It reads this variable once, when it is
first imported, so it is set before any other module of the package is loaded.
"""

import os

os.environ["UV_USE_IO_URING"] = "0"

__version__ = "0.1.0"
