"""``finchshed bench``: what a call and its parts cost, for whoever changes the code."""

from finchshed.bench.consensus_log import measure_log
from finchshed.bench.decisions import decisions
from finchshed.bench.paired_latency import latency

COMMANDS = {
    "latency": latency,
    "log": measure_log,
    "decisions": decisions,
}
