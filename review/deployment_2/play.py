"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

from deployment_2.machines import CannotRunError, Deployment

LONGEST_S = 110.0


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(make: Callable[[], Deployment], case: Callable[[Deployment], Awaitable[bool]]) -> int:
    """Play ``case``, which returns whether the rule held; return the exit code."""
    deployment = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        deployment = make()

        async def main(made: Deployment) -> bool:
            try:
                async with asyncio.timeout(LONGEST_S):
                    return await case(made)
            finally:
                for server in made.servers:
                    server.close()
                await asyncio.sleep(0.1)

        held = asyncio.run(main(deployment))
        deployment.record("verdict", held=held)
        print("held" if held else "BROKEN")
        return 0 if held else 1
    except (CannotRunError, OSError, TimeoutError) as error:
        print(f"couldn't run: {error!r}", file=sys.stderr)
        if deployment is not None:
            deployment.record("couldn't run", error=repr(error))
        return 2
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        if deployment is not None:
            deployment.close()
