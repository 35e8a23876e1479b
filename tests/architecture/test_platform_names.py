"""Nothing but ``platform/`` knows the names that the users' platform gives things."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]

NAMES = (
    "Server-Seal",
    "Not-Executed",
    "Expect-Instance",
    "Caller-Service",
    "Server-Load",
    "Instance-Id",
    "Deadline-Ms",
    "Request-Id",
    "heartbeat_endpoint",
    "cold_remaining_s",
    "FINCHSHED_SETTINGS",
    "/finchshed/",
    "path_prefix",
    "traffic_split",
    "ruleset",
    "target_latency_s",
    "max_header_bytes",
    "header_timeout_s",
    "idle_timeout_s",
    "app_addr",
    "seed_nodes",
    "port_range",
    "loss_counts",
    "fault_tolerance",
    "grace_s",
    "budget_slack",
    "sidecar",
)

ALLOWED = {
    "finchshed-request-id",
}


def found_in(text: str) -> list[str]:
    names = "|".join(re.escape(name) for name in NAMES)
    pattern = re.compile(rf"(?<![\w-])(?:{names})(?![\w-])", re.IGNORECASE)
    return sorted({match.group(0) for match in pattern.finditer(text)} - ALLOWED)


def test_no_source_outside_the_adapter_holds_a_name_of_the_platform() -> None:
    holding = {
        str(path.relative_to(ROOT)): names
        for path in sorted((ROOT / "src").rglob("*.py"))
        if (names := found_in(path.read_text(encoding="utf-8")))
    }
    assert holding == {}


def test_the_adapter_is_where_they_stand() -> None:
    text = "".join(
        path.read_text(encoding="utf-8") for path in sorted((ROOT / "platform").rglob("*.py"))
    )
    assert {"server-seal", "path_prefix", "seed_nodes"} <= {name.lower() for name in found_in(text)}


def test_the_adapter_shadows_no_module_of_python() -> None:
    assert not (ROOT / "platform" / "__init__.py").exists()
