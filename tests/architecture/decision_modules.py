"""Which modules decide, and what they may import."""

import ast
from collections.abc import Iterator, Mapping
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src"

DECISION_PACKAGES = (
    "admission",
    "common",
    "configuration",
    "consensus",
    "directory",
    "distribution",
    "ledger",
    "limit",
    "retry",
    "routing",
    "quarantine",
    "quota",
    "session",
    "tenancy",
)

SHELLS = frozenset(
    {
        "finchshed.configuration.declarations",
        "finchshed.consensus.effect_runner",
        "finchshed.distribution.client",
        "finchshed.distribution.control_dialer",
        "finchshed.distribution.follower_runner",
        "finchshed.distribution.ledger_requests",
        "finchshed.distribution.quorum_reads",
        "finchshed.distribution.record",
        "finchshed.distribution.server",
    }
)
"""Modules of those packages that carry effects out: files, sockets, the event loop."""

FURTHER_DECISION_MODULES = (
    "finchshed.control.state.audit",
    "finchshed.control.state.commands",
    "finchshed.control.daemons.daemon_view",
    "finchshed.control.raft.node_messages",
    "finchshed.control.daemons.platform_list",
    "finchshed.control.raft.recovery",
    "finchshed.control.operators.replacement",
    "finchshed.control.raft.replicated_log",
    "finchshed.control.state.machine",
    "finchshed.link.encoding",
    "finchshed.link.messages",
    "finchshed.storage.records",
)

ALLOWED_LIBRARIES = frozenset(
    {
        "abc",
        "bisect",
        "collections",
        "collections.abc",
        "dataclasses",
        "enum",
        "functools",
        "hashlib",
        "heapq",
        "ipaddress",
        "itertools",
        "math",
        "msgspec",
        "operator",
        "random",
        "typing",
        "uuid",
        "xxhash",
    }
)
"""Libraries without I/O, clocks or threads; nothing else may be imported."""

ALLOWED_ATTRIBUTES = {"random": {"Random"}, "uuid": {"UUID"}}
"""Only a generator that the caller seeded, and the type of identities."""

FORBIDDEN_BUILTINS = frozenset({"open", "print", "input", "hash", "exec", "eval", "__import__"})
"""``hash`` of text differs from process to process."""


def decision_modules() -> dict[str, str]:
    """Return the source text of each decision module, by name."""
    found = {}
    for package in DECISION_PACKAGES:
        for path in sorted((SOURCE / "finchshed" / package).rglob("*.py")):
            name = _module_name(path)
            if name not in SHELLS:
                found[name] = path.read_text(encoding="utf-8")
    for name in FURTHER_DECISION_MODULES:
        found[name] = (SOURCE / (name.replace(".", "/") + ".py")).read_text(encoding="utf-8")
    return found


def violations_of(modules: Mapping[str, str]) -> list[str]:
    """Return one line for each import or call that a decision module may not have.

    A decision module may import decision modules and ``ALLOWED_LIBRARIES``, so nothing else can
    be reached from one.
    """
    found = []
    for name, text in modules.items():
        for node in ast.walk(ast.parse(text)):
            found += [f"{name}: {problem}" for problem in _problems(node, modules)]
    return found


def _problems(node: ast.AST, modules: Mapping[str, str]) -> Iterator[str]:
    if isinstance(node, ast.Import):
        for alias in node.names:
            if not _may_import(alias.name, modules):
                yield f"imports {alias.name}"
    elif isinstance(node, ast.ImportFrom):
        yield from _problems_of_names(node, modules)
    elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
        allowed = ALLOWED_ATTRIBUTES.get(node.value.id)
        if allowed is not None and node.attr not in allowed:
            yield f"uses {node.value.id}.{node.attr}"
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
        if node.func.id in FORBIDDEN_BUILTINS:
            yield f"calls {node.func.id}"
    elif isinstance(node, ast.Call) and not node.args and _is_generator(node.func):
        yield "makes a generator without a seed"


def _problems_of_names(node: ast.ImportFrom, modules: Mapping[str, str]) -> Iterator[str]:
    module = node.module or ""
    allowed = ALLOWED_ATTRIBUTES.get(module)
    for alias in node.names:
        if allowed is not None and alias.name not in allowed:
            yield f"imports {alias.name} from {module}"
        if not _may_import(module, modules) and f"{module}.{alias.name}" not in modules:
            yield f"imports {alias.name} from {module}"


def _may_import(name: str, modules: Mapping[str, str]) -> bool:
    return name in ALLOWED_LIBRARIES or name in modules


def _is_generator(function: ast.expr) -> bool:
    return ast.unparse(function) in {"random.Random", "Random"}


def _module_name(path: Path) -> str:
    parts = path.relative_to(SOURCE).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
