"""Runs the sweeps, fits their points, and writes both."""

from pathlib import Path

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import FinchshedError
from finchshed.scale.cluster import Cluster
from finchshed.scale.fit import Fit
from finchshed.scale.models import fits_of, table_of
from finchshed.scale.results import RunInfo, run_info
from finchshed.scale.run import RunOptions, start
from finchshed.scale.slope_points import SlopePoint
from finchshed.scale.slopes import Sweeps


async def measure(options: RunOptions, seconds: float) -> int:
    """Run all sweeps with points of ``seconds``."""
    encoder = msgspec.json.Encoder()
    points: list[SlopePoint] = []
    async with Cluster(options.folder, options.size, options.seed) as cluster:
        await start(cluster)
        with options.out.open("ab") as file:
            info = run_info(options.size, options.seed, len(cluster.processes))
            file.write(encoder.encode(info) + b"\n")
            sweeps = Sweeps(cluster, seconds)
            for sweep in sweeps.all:
                found = await sweep()
                points += found
                file.writelines(encoder.encode(point) + b"\n" for point in found)
                file.flush()
                print(f"{found[0].sweep}: {len(found)} points", flush=True)
            fits = fits_of(points)
            file.writelines(encoder.encode(item) + b"\n" for item in fits)
    print(table_of(fits))
    return ExitCode.OK


def read_fits(path: Path) -> list[Fit]:
    """Return the fits of the last run in a file of slopes.

    Raises
    ------
    FinchshedError
        If the file can't be read or holds no fits.
    """
    decoder = msgspec.json.Decoder(RunInfo | SlopePoint | Fit)
    fits: dict[str, Fit] = {}
    try:
        for line in path.read_bytes().splitlines():
            item = decoder.decode(line)
            if isinstance(item, Fit):
                fits[item.quantity] = item
    except (OSError, msgspec.DecodeError) as error:
        raise FinchshedError(f"{path}: {error}") from error
    if not fits:
        raise FinchshedError(f"{path}: holds no fits")
    return list(fits.values())
