"""Generates days for the users' benchmark with planned work and faults drawn from a seed."""

import random
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

Entry = dict[str, Any]
EntryGenerator = Callable[[random.Random], Entry]

TRAFFIC_SECONDS = 32.0
MIN_START_SECONDS, MAX_START_SECONDS = 0.5, 28.5
PLANNED_KINDS = frozenset(
    {
        "config_change",
        "config_storm",
        "config_race",
        "bad_config",
        "big_config",
        "release",
        "scale_in",
        "scale_out",
        "roll_term",
        "hup",
        "seed_turnover",
        "replace_core",
    }
)
"""Kinds that are planned work; all others are faults."""


def _random_variant(rng: random.Random, *variants: str) -> str:
    return rng.choice(variants)


def _random_words(rng: random.Random, *words: str, chance: float = 0.35) -> str:
    return " ".join(word for word in words if rng.random() < chance)


def _random_seconds(rng: random.Random, low: float = 2.0, high: float = 7.0) -> float:
    return round(rng.uniform(low, high), 2)


def _random_share(rng: random.Random, low: float, high: float) -> float:
    return round(rng.uniform(low, high), 3)


def _random_machine_words(rng: random.Random) -> str:
    return _random_words(rng, "meet", "race", "hard", "drain", chance=0.25)


def _burst(rng: random.Random) -> Entry:
    return {"x": _random_share(rng, 1.2, 2.2), "for_s": _random_seconds(rng, 3.0, 20.0)}


def _retry_abuse(rng: random.Random) -> Entry:
    return {"x": 3.0, "share": _random_share(rng, 0.2, 0.5), "for_s": _random_seconds(rng)}


def _give_up(rng: random.Random) -> Entry:
    entry: Entry = {"share": _random_share(rng, 0.1, 0.4), "for_s": _random_seconds(rng)}
    if rng.random() < 0.4:
        entry["x"] = rng.choice((30.0, 150.0, 700.0, 1500.0))
    return entry


def _srv_crash(rng: random.Random) -> Entry:
    words = _random_words(rng, "dark", "gone", "across", "all", chance=0.3)
    share = _random_share(rng, 0.1, 0.3)
    return {"share": share, "for_s": _random_seconds(rng), "how": words}


def _srv_slow(rng: random.Random) -> Entry:
    return {
        "share": _random_share(rng, 0.1, 0.5),
        "x": _random_share(rng, 2.0, 14.0),
        "for_s": _random_seconds(rng),
        "how": _random_variant(rng, "", "", "across", "all"),
    }


def _release(rng: random.Random) -> Entry:
    return {
        "share": _random_share(rng, 0.3, 1.0),
        "x": rng.choice((1.0, 2.0, 3.0)),
        "gap_s": _random_share(rng, 0.4, 1.6),
    }


def _replace_with_reuse(rng: random.Random) -> Entry:
    return {"share": _random_share(rng, 0.1, 0.4), "how": _random_variant(rng, "", "drain", "dark")}


def _scale_in(rng: random.Random) -> Entry:
    entry: Entry = {"share": _random_share(rng, 0.1, 0.3)}
    how = _random_variant(rng, "", "", "spot", "reclaim")
    if how:
        entry["how"] = how
    return entry


def _scale_out(rng: random.Random) -> Entry:
    return {"share": _random_share(rng, 0.1, 0.4), "gap_s": _random_share(rng, 0.5, 3.0)}


def _answer_lost(rng: random.Random) -> Entry:
    return {
        "share": _random_share(rng, 0.3, 1.0),
        "x": _random_share(rng, 0.02, 0.4),
        "for_s": _random_seconds(rng),
        "how": _random_variant(rng, "", "reset"),
    }


def _garble(rng: random.Random) -> Entry:
    words = _random_words(rng, "extra", "late", "unframed", "early")
    return {
        "share": _random_share(rng, 0.3, 0.8),
        "x": _random_share(rng, 0.02, 0.1),
        "for_s": _random_seconds(rng),
        "how": words,
    }


def _node_kill(rng: random.Random) -> Entry:
    entry: Entry = {"share": _random_share(rng, 0.05, 0.4), "for_s": _random_seconds(rng, 0.5, 5.0)}
    entry["how"] = _random_words(rng, "power", "turn", "meet", "race", "drain", chance=0.3)
    return entry


def _core_kill(rng: random.Random) -> Entry:
    words = [rng.choice(("leader", "seed", "giver", "turn", ""))]
    words += [_random_words(rng, "power", chance=0.4), _random_machine_words(rng)]
    how = " ".join(word for word in words if word)
    return {
        "kind": "node_kill",
        "on": "core",
        "count": 1,
        "for_s": _random_seconds(rng),
        "how": how,
    }


def _roll_term(rng: random.Random) -> Entry:
    entry: Entry = {
        "share": _random_share(rng, 0.2, 1.0),
        "x": rng.choice((1.0, 1.0, 2.0)),
        "gap_s": _random_share(rng, 0.6, 2.0),
        "how": _random_words(rng, "busy", "meet", "race", chance=0.35),
    }
    if rng.random() < 0.3:
        entry["on"] = "core"
    return entry


def _herd_kill(rng: random.Random) -> Entry:
    entry: Entry = {"share": _random_share(rng, 0.3, 0.9), "for_s": _random_seconds(rng, 0.5, 4.0)}
    entry["how"] = _random_variant(rng, "", "power")
    if rng.random() < 0.5:
        entry["on"] = "core"
        entry["how"] = _random_variant(rng, "", "power", "off", "taken", "taken all")
    return entry


def _after_ack_kill(rng: random.Random) -> Entry:
    return {
        "for_s": _random_seconds(rng),
        "how": _random_variant(rng, "", "kill", "timed", "timed kill"),
    }


def _after_ack_wipe(rng: random.Random) -> Entry:
    return {"for_s": _random_seconds(rng), "how": _random_variant(rng, "", "timed", "oldest")}


def _disk_full(rng: random.Random) -> Entry:
    return {"count": 1, "for_s": _random_seconds(rng)}


def _disk_stall(rng: random.Random) -> Entry:
    return {"count": 1, "for_s": _random_seconds(rng), "how": _random_variant(rng, "", "leader")}


def _disk_slow(rng: random.Random) -> Entry:
    entry: Entry = {"count": 1, "x": _random_share(rng, 10.0, 40.0), "for_s": _random_seconds(rng)}
    entry["how"] = _random_variant(rng, "", "leader")
    return entry


def _reset_conns(rng: random.Random) -> Entry:
    entry: Entry = {"share": _random_share(rng, 0.1, 0.6), "x": _random_share(rng, 0.3, 1.0)}
    if rng.random() < 0.3:
        entry["on"] = "core"
    return entry


def _core_cut(rng: random.Random) -> Entry:
    words = [rng.choice(("leader", "seed", "oldest", "turn", ""))]
    words.append(rng.choice(("", "split", "all", "near", "one_way", "seeds", "both", "behind")))
    words.append(_random_words(rng, "lure", "relieve", "reset", "refuse", chance=0.25))
    words.append(_random_machine_words(rng))
    how = " ".join(word for word in words if word)
    return {"count": 1, "for_s": _random_seconds(rng, 3.0, 8.0), "how": how}


def _node_cut(rng: random.Random) -> Entry:
    words = [rng.choice(("", "all", "servers")), _random_words(rng, "reset", "refuse", chance=0.2)]
    how = " ".join(word for word in words if word)
    return {"share": _random_share(rng, 0.1, 0.4), "for_s": _random_seconds(rng), "how": how}


def _node_freeze(rng: random.Random) -> Entry:
    entry: Entry = {"share": _random_share(rng, 0.05, 0.3), "for_s": _random_seconds(rng)}
    if rng.random() < 0.5:
        entry = {
            "on": "core",
            "count": 1,
            "for_s": _random_seconds(rng),
            "how": _random_variant(rng, "", "leader"),
        }
    return entry


def _node_slow(rng: random.Random) -> Entry:
    entry: Entry = {"share": _random_share(rng, 0.1, 0.4), "x": _random_share(rng, 3.0, 8.0)}
    entry["for_s"] = _random_seconds(rng)
    if rng.random() < 0.3:
        entry["on"] = "core"
    return entry


def _lossy(rng: random.Random) -> Entry:
    return {"x": _random_share(rng, 0.01, 0.06), "for_s": _random_seconds(rng)}


def _config_change(rng: random.Random) -> Entry:
    return {"how": _random_variant(rng, "route", "weights", "timeout", "idle")}


def _config_storm(rng: random.Random) -> Entry:
    return {
        "for_s": _random_seconds(rng),
        "gap_s": _random_share(rng, 0.25, 0.9),
        "how": _random_variant(rng, "", "idle"),
    }


def _config_race(rng: random.Random) -> Entry:
    return {"count": rng.randint(1, 5), "gap_s": _random_share(rng, 0.4, 1.4)}


def _bad_config(rng: random.Random) -> Entry:
    how = _random_variant(
        rng, "", "cut_short", "unknown_service", "no_timeout", "old_version", "same_version"
    )
    return {"count": rng.randint(1, 8), "gap_s": _random_share(rng, 0.3, 1.0), "how": how}


def _big_config(rng: random.Random) -> Entry:
    return {"count": rng.choice((50, 150, 350))}


def _ack_lost(rng: random.Random) -> Entry:
    return {"x": _random_share(rng, 0.3, 0.8), "for_s": _random_seconds(rng, 4.0, 14.0)}


def _clock_step(rng: random.Random) -> Entry:
    entry: Entry = {"x": rng.choice((500.0, 2000.0, 4000.0)), "share": _random_share(rng, 0.2, 1.0)}
    return entry | {"for_s": _random_seconds(rng), "how": _random_variant(rng, "back", "ahead")}


def _hup(rng: random.Random) -> Entry:
    return {"share": _random_share(rng, 0.2, 1.0), "gap_s": _random_share(rng, 0.5, 3.0)}


def _no_fields(_rng: random.Random) -> Entry:
    return {}


ENTRY_GENERATORS: dict[str, EntryGenerator] = {
    "burst": _burst,
    "retry_abuse": _retry_abuse,
    "give_up": _give_up,
    "srv_crash": _srv_crash,
    "srv_slow": _srv_slow,
    "release": _release,
    "replace_with_reuse": _replace_with_reuse,
    "scale_in": _scale_in,
    "scale_out": _scale_out,
    "answer_lost": _answer_lost,
    "garble": _garble,
    "node_kill": _node_kill,
    "core_kill": _core_kill,
    "roll_term": _roll_term,
    "herd_kill": _herd_kill,
    "after_ack_kill": _after_ack_kill,
    "after_ack_wipe": _after_ack_wipe,
    "disk_full": _disk_full,
    "disk_stall": _disk_stall,
    "disk_slow": _disk_slow,
    "reset_conns": _reset_conns,
    "core_cut": _core_cut,
    "node_cut": _node_cut,
    "node_freeze": _node_freeze,
    "node_slow": _node_slow,
    "lossy": _lossy,
    "config_change": _config_change,
    "config_storm": _config_storm,
    "config_race": _config_race,
    "bad_config": _bad_config,
    "big_config": _big_config,
    "ack_lost": _ack_lost,
    "clock_step": _clock_step,
    "hup": _hup,
    "seed_turnover": _no_fields,
    "replace_core": _no_fields,
}
"""Generators of the random fields of each kind that the benchmark supports."""

CLOSING_KINDS = ("", "power_off_all", "kill_all", "wipe_after_ack")


def draw_day(site: Path, seed: int, kinds: tuple[str, ...] = (), entries: int = 12) -> Entry:
    """Return a random day of the deployment in the file ``site``.

    It has ``entries`` random entries of planned work and faults, of ``kinds`` (all if empty).
    """
    rng = random.Random(seed)
    days = tomllib.loads(site.read_text())["day"]
    day = dict(rng.choice(days))
    day |= {"name": f"drawn-{seed}", "seed": seed, "plan": [], "faults": []}
    day.pop("closing", None)
    names = kinds or tuple(ENTRY_GENERATORS)
    # Every day changes the configuration, so that a loss of the latest one is detectable.
    day["plan"].append({"at": 2.0, "kind": "config_change", "how": "idle"})
    for _ in range(entries):
        name = rng.choice(names)
        entry = {"kind": name, "at": round(rng.uniform(MIN_START_SECONDS, MAX_START_SECONDS), 2)}
        entry |= ENTRY_GENERATORS[name](rng)
        day["plan" if entry["kind"] in PLANNED_KINDS else "faults"].append(entry)
    closing = rng.choice(CLOSING_KINDS)
    if closing:
        day["closing"] = {"kind": closing, "down_s": round(rng.uniform(0.5, 1.6), 2)}
        if closing == "wipe_after_ack":
            day["closing"]["how"] = _random_variant(
                rng, "", "aimed all", "aimed all synced", "timed", "oldest"
            )
    return day


def day_as_toml(day: Entry) -> str:
    """Encode a day as TOML for the benchmark."""
    lines = ["[[day]]"]
    for key, value in day.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines.append(f"{key} = [")
            lines.extend(f"  {_to_toml(entry)}," for entry in value)
            lines.append("]")
        else:
            lines.append(f"{key} = {_to_toml(value)}")
    return "\n".join(lines) + "\n"


def _to_toml(value: object) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_to_toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_to_toml(item) for item in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)
