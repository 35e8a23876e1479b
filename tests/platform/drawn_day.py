"""Days of the users' bench that hold any of the troubles it knows, drawn from a seed.

A day of a deployment's own is taken for its traffic, floors and marks; the troubles are drawn anew,
several at once and the same one twice, whatever the deployment's own list of them holds.
"""

import random
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

Entry = dict[str, Any]
Maker = Callable[[random.Random], Entry]

TRAFFIC_SECONDS = 32.0
FIRST_AT, LAST_AT = 0.5, 28.5
PLANNED = frozenset(
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
"""Kinds that count as planned work."""


def _how(rng: random.Random, *variants: str) -> str:
    return rng.choice(variants)


def _extras(rng: random.Random, *words: str, chance: float = 0.35) -> str:
    return " ".join(word for word in words if rng.random() < chance)


def _seconds(rng: random.Random, low: float = 2.0, high: float = 7.0) -> float:
    return round(rng.uniform(low, high), 2)


def _share(rng: random.Random, low: float, high: float) -> float:
    return round(rng.uniform(low, high), 3)


def _machine_extras(rng: random.Random) -> str:
    return _extras(rng, "meet", "race", "hard", "drain", chance=0.25)


def _burst(rng: random.Random) -> Entry:
    return {"x": _share(rng, 1.2, 2.2), "for_s": _seconds(rng, 3.0, 20.0)}


def _retry_abuse(rng: random.Random) -> Entry:
    return {"x": 3.0, "share": _share(rng, 0.2, 0.5), "for_s": _seconds(rng)}


def _give_up(rng: random.Random) -> Entry:
    entry: Entry = {"share": _share(rng, 0.1, 0.4), "for_s": _seconds(rng)}
    if rng.random() < 0.4:
        entry["x"] = rng.choice((30.0, 150.0, 700.0, 1500.0))
    return entry


def _srv_crash(rng: random.Random) -> Entry:
    words = _extras(rng, "dark", "gone", "across", "all", chance=0.3)
    share = _share(rng, 0.1, 0.3)
    return {"share": share, "for_s": _seconds(rng), "how": words}


def _srv_slow(rng: random.Random) -> Entry:
    return {
        "share": _share(rng, 0.1, 0.5),
        "x": _share(rng, 2.0, 14.0),
        "for_s": _seconds(rng),
        "how": _how(rng, "", "", "across", "all"),
    }


def _release(rng: random.Random) -> Entry:
    return {
        "share": _share(rng, 0.3, 1.0),
        "x": rng.choice((1.0, 2.0, 3.0)),
        "gap_s": _share(rng, 0.4, 1.6),
    }


def _replace_with_reuse(rng: random.Random) -> Entry:
    return {"share": _share(rng, 0.1, 0.4), "how": _how(rng, "", "drain", "dark")}


def _scale_in(rng: random.Random) -> Entry:
    entry: Entry = {"share": _share(rng, 0.1, 0.3)}
    how = _how(rng, "", "", "spot", "reclaim")
    if how:
        entry["how"] = how
    return entry


def _scale_out(rng: random.Random) -> Entry:
    return {"share": _share(rng, 0.1, 0.4), "gap_s": _share(rng, 0.5, 3.0)}


def _answer_lost(rng: random.Random) -> Entry:
    return {
        "share": _share(rng, 0.3, 1.0),
        "x": _share(rng, 0.02, 0.4),
        "for_s": _seconds(rng),
        "how": _how(rng, "", "reset"),
    }


def _garble(rng: random.Random) -> Entry:
    words = _extras(rng, "extra", "late", "unframed", "early")
    return {
        "share": _share(rng, 0.3, 0.8),
        "x": _share(rng, 0.02, 0.1),
        "for_s": _seconds(rng),
        "how": words,
    }


def _node_kill(rng: random.Random) -> Entry:
    entry: Entry = {"share": _share(rng, 0.05, 0.4), "for_s": _seconds(rng, 0.5, 5.0)}
    entry["how"] = _extras(rng, "power", "turn", "meet", "race", "drain", chance=0.3)
    return entry


def _core_kill(rng: random.Random) -> Entry:
    words = [rng.choice(("leader", "seed", "giver", "turn", ""))]
    words += [_extras(rng, "power", chance=0.4), _machine_extras(rng)]
    how = " ".join(word for word in words if word)
    return {"kind": "node_kill", "on": "core", "count": 1, "for_s": _seconds(rng), "how": how}


def _roll_term(rng: random.Random) -> Entry:
    entry: Entry = {
        "share": _share(rng, 0.2, 1.0),
        "x": rng.choice((1.0, 1.0, 2.0)),
        "gap_s": _share(rng, 0.6, 2.0),
        "how": _extras(rng, "busy", "meet", "race", chance=0.35),
    }
    if rng.random() < 0.3:
        entry["on"] = "core"
    return entry


def _herd_kill(rng: random.Random) -> Entry:
    entry: Entry = {"share": _share(rng, 0.3, 0.9), "for_s": _seconds(rng, 0.5, 4.0)}
    entry["how"] = _how(rng, "", "power")
    if rng.random() < 0.5:
        entry["on"] = "core"
        entry["how"] = _how(rng, "", "power", "off", "taken", "taken all")
    return entry


def _after_ack_kill(rng: random.Random) -> Entry:
    return {"for_s": _seconds(rng), "how": _how(rng, "", "kill", "timed", "timed kill")}


def _after_ack_wipe(rng: random.Random) -> Entry:
    return {"for_s": _seconds(rng), "how": _how(rng, "", "timed", "oldest")}


def _disk_full(rng: random.Random) -> Entry:
    return {"count": 1, "for_s": _seconds(rng)}


def _disk_stall(rng: random.Random) -> Entry:
    return {"count": 1, "for_s": _seconds(rng), "how": _how(rng, "", "leader")}


def _disk_slow(rng: random.Random) -> Entry:
    entry: Entry = {"count": 1, "x": _share(rng, 10.0, 40.0), "for_s": _seconds(rng)}
    entry["how"] = _how(rng, "", "leader")
    return entry


def _reset_conns(rng: random.Random) -> Entry:
    entry: Entry = {"share": _share(rng, 0.1, 0.6), "x": _share(rng, 0.3, 1.0)}
    if rng.random() < 0.3:
        entry["on"] = "core"
    return entry


def _core_cut(rng: random.Random) -> Entry:
    words = [rng.choice(("leader", "seed", "oldest", "turn", ""))]
    words.append(rng.choice(("", "split", "all", "near", "one_way", "seeds", "both", "behind")))
    words.append(_extras(rng, "lure", "relieve", "reset", "refuse", chance=0.25))
    words.append(_machine_extras(rng))
    how = " ".join(word for word in words if word)
    return {"count": 1, "for_s": _seconds(rng, 3.0, 8.0), "how": how}


def _node_cut(rng: random.Random) -> Entry:
    words = [rng.choice(("", "all", "servers")), _extras(rng, "reset", "refuse", chance=0.2)]
    how = " ".join(word for word in words if word)
    return {"share": _share(rng, 0.1, 0.4), "for_s": _seconds(rng), "how": how}


def _node_freeze(rng: random.Random) -> Entry:
    entry: Entry = {"share": _share(rng, 0.05, 0.3), "for_s": _seconds(rng)}
    if rng.random() < 0.5:
        entry = {"on": "core", "count": 1, "for_s": _seconds(rng), "how": _how(rng, "", "leader")}
    return entry


def _node_slow(rng: random.Random) -> Entry:
    entry: Entry = {"share": _share(rng, 0.1, 0.4), "x": _share(rng, 3.0, 8.0)}
    entry["for_s"] = _seconds(rng)
    if rng.random() < 0.3:
        entry["on"] = "core"
    return entry


def _lossy(rng: random.Random) -> Entry:
    return {"x": _share(rng, 0.01, 0.06), "for_s": _seconds(rng)}


def _config_change(rng: random.Random) -> Entry:
    return {"how": _how(rng, "route", "weights", "timeout", "idle")}


def _config_storm(rng: random.Random) -> Entry:
    return {"for_s": _seconds(rng), "gap_s": _share(rng, 0.25, 0.9), "how": _how(rng, "", "idle")}


def _config_race(rng: random.Random) -> Entry:
    return {"count": rng.randint(1, 5), "gap_s": _share(rng, 0.4, 1.4)}


def _bad_config(rng: random.Random) -> Entry:
    how = _how(rng, "", "cut_short", "unknown_service", "no_timeout", "old_version", "same_version")
    return {"count": rng.randint(1, 8), "gap_s": _share(rng, 0.3, 1.0), "how": how}


def _big_config(rng: random.Random) -> Entry:
    return {"count": rng.choice((50, 150, 350))}


def _ack_lost(rng: random.Random) -> Entry:
    return {"x": _share(rng, 0.3, 0.8), "for_s": _seconds(rng, 4.0, 14.0)}


def _clock_step(rng: random.Random) -> Entry:
    entry: Entry = {"x": rng.choice((500.0, 2000.0, 4000.0)), "share": _share(rng, 0.2, 1.0)}
    return entry | {"for_s": _seconds(rng), "how": _how(rng, "back", "ahead")}


def _hup(rng: random.Random) -> Entry:
    return {"share": _share(rng, 0.2, 1.0), "gap_s": _share(rng, 0.5, 3.0)}


def _nothing_more(_rng: random.Random) -> Entry:
    return {}


MAKERS: dict[str, Maker] = {
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
    "seed_turnover": _nothing_more,
    "replace_core": _nothing_more,
}
"""Every kind that the bench lists for these deployments, with what is drawn for it."""

CLOSINGS = ("", "power_off_all", "kill_all", "wipe_after_ack")


def draw_day(site: Path, seed: int, kinds: tuple[str, ...] = (), entries: int = 12) -> Entry:
    """Return a day of a deployment with drawn troubles.

    Parameters
    ----------
    kinds
        The kinds to draw from; all if none are given.
    entries
        Number of troubles.
    """
    rng = random.Random(seed)
    days = tomllib.loads(site.read_text())["day"]
    day = dict(rng.choice(days))
    day |= {"name": f"drawn-{seed}", "seed": seed, "plan": [], "faults": []}
    day.pop("closing", None)
    names = kinds or tuple(MAKERS)
    # Something is changed on each day, so that there is always a newest configuration to lose.
    day["plan"].append({"at": 2.0, "kind": "config_change", "how": "idle"})
    for _ in range(entries):
        name = rng.choice(names)
        entry = {"kind": name, "at": round(rng.uniform(FIRST_AT, LAST_AT), 2)}
        entry |= MAKERS[name](rng)
        day["plan" if entry["kind"] in PLANNED else "faults"].append(entry)
    closing = rng.choice(CLOSINGS)
    if closing:
        day["closing"] = {"kind": closing, "down_s": round(rng.uniform(0.5, 1.6), 2)}
        if closing == "wipe_after_ack":
            day["closing"]["how"] = _how(
                rng, "", "aimed all", "aimed all synced", "timed", "oldest"
            )
    return day


def day_as_toml(day: Entry) -> str:
    """Return a day as the bench reads it from a file."""
    lines = ["[[day]]"]
    for key, value in day.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines.append(f"{key} = [")
            lines.extend(f"  {_inline(entry)}," for entry in value)
            lines.append("]")
        else:
            lines.append(f"{key} = {_inline(value)}")
    return "\n".join(lines) + "\n"


def _inline(value: object) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_inline(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_inline(item) for item in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)
