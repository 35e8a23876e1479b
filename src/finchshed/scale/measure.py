"""Runs the sweeps, fits their points, and writes both."""

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.scale.cluster import Cluster
from finchshed.scale.models import fits_of, table_of
from finchshed.scale.results import run_info
from finchshed.scale.run import RunOptions, start
from finchshed.scale.slopes import SlopePoint, Sweeps


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
