#!/usr/bin/env python3
"""Draws rough days for the gateway's bench: any kind and variant that `BENCH kinds SITE` lists, at any moment, more than once.

    draw_days.py BENCH SITE.toml FIRST_SEED COUNT FOLDER [--length 60] [--dense] [--brisk]

Writes FOLDER/<site>-v4-<seed>.toml for `BENCH run SITE FILE`. The same seed draws the same day. What a day leans on takes turns
by seed modulo 8: a control machine cut off; orders on one version; second losses; hundreds of changes; wrong callers; members
that are replaced and rolled; losses of the whole core; all kinds alike. Beside it, six entries are dealt in turn from all kinds with
each of their variants, and the closing fault takes turns by seed modulo 11, so that days in a row leave none out.
--dense: days of 30 to 40 entries instead of 10 to 16. --brisk: no trouble lasts over 2.5 s, so that the next loss comes sooner: one
that would lose more than `tolerate` says waits its turn. Both have names of their own, ending in d and b.
"""
import argparse
import os
import random
import re
import subprocess

# Entries of a day that are planned work.
PLANNED = {"release", "scale_in", "scale_out", "roll_term", "config_change", "config_storm", "config_race", "bad_config",
           "big_config", "hup"}
# What is wrong with an order, beside what the kinds' page of the contracts in force leaves out.
WRONG = ["cut_short", "unknown_service", "no_weight", "no_timeout", "old_version", "same_version", "same_place", "stale_match",
         "shared_key"]
LEANS = [
    ["core_cut", "core_cut", "core_cut", "node_cut", "config_change", "config_storm", "scale_in", "config_race", "node_freeze"],
    ["config_race", "config_race", "many_orders", "after_ack_kill", "node_kill", "bad_config", "node_freeze", "clock_step",
     "core_cut", "ack_lost"],
    ["replace_core", "replace_core", "after_ack_wipe", "node_kill", "roll_term", "config_race", "after_ack_kill", "disk_slow", "disk_full",
     "disk_stall"],
    ["hundreds", "config_storm", "herd_kill", "node_kill", "core_cut", "after_ack_wipe", "replace_core", "bad_config"],
    ["garble", "answer_lost", "idle_race", "replace_with_reuse", "srv_grey", "srv_flap", "srv_crash", "node_kill", "roll_term",
     "release", "reset_conns", "retry_abuse", "give_up", "give_up", "srv_slow"],
    ["replace_core", "roll_term", "roll_core", "node_kill", "hup", "scale_in", "core_cut", "disk_slow", "config_change",
     "seed_turnover"],
    ["herd_kill", "herd_kill", "after_ack_kill", "after_ack_wipe", "node_freeze", "many_orders", "core_cut", "big_config"],
]
# Names of this tool for several entries, and the kind that each needs.
GROUPS = {"many_orders": "config_race", "hundreds": "config_storm", "roll_core": "roll_term"}


# The days that a seed draws change with this word, which is part of their names.
VERSION = "v4"
# Dealt entries of a day, beside those that its lean draws.
DEALT = 6
# What a kind's `how` begins with: each is dealt to days in turn. Who is struck, and what meets it on its return, is drawn besides.
VARIANTS = {
    "srv_crash": ("", "dark", "gone", "dark gone"), "replace_with_reuse": ("", "drain", "dark"), "scale_in": ("", "spot"),
    "answer_lost": ("", "reset"), "garble": ("", "extra", "extra late"), "node_kill": ("", "power"), "roll_term": ("", "busy", "remove"),
    "herd_kill": ("", "power", "taken"), "replace_core": ("", "planned"), "after_ack_kill": ("", "kill", "timed", "taken", "kill timed"),
    "after_ack_wipe": ("", "kill", "timed", "taken"), "clock_step": ("back", "ahead", "back ahead"),
    "core_cut": ("", "one_way", "seeds", "both", "reset", "refuse"), "node_cut": ("", "servers"),
    "config_change": ("route", "weights", "timeout", "tenant", "quota", "idle"),
    "config_storm": ("route", "weights", "timeout", "tenant", "quota", "idle"), "bad_config": tuple(WRONG),
    "srv_grey": ("errors", "shed", "busy", "hang", "reset", "mute", "slow"), "srv_lying_health": ("errors", "hang", "reset", "bad"),
}
# Kinds that the bench plays wherever a contract is in force, whether or not its page lists them for the site.
KINDS = {"config": ("config_change", "config_storm", "config_race", "bad_config", "big_config"),
         "pool": ("idle_race",), "health": ("srv_grey", "srv_flap", "srv_lying_health")}
# Closing faults, one a day in turn. `aimed` stands in the sites' own days, not on the bench's page.
CLOSINGS = [(kind, how) for how in ("", "timed", "taken") for kind in ("power_off_all", "wipe_after_ack", "kill_all")]
CLOSINGS += [("wipe_after_ack", "aimed"), ("wipe_after_ack", "timed aimed")]


def words(r, *choices):
    return " ".join(word for word in (r.choice(choice) for choice in choices) if word)


def who(r):
    return ("leader", "reader", "seed", "")


def after(r):
    """What is asked of a machine that has been away."""
    return words(r, ("", "meet"), ("", "race"), ("", "hard"), ("", "drain"))


def spread(r):
    """How far trouble of servers goes: mostly a part, at times all copies of a service."""
    return r.choice(("", "", "", "", "across", "all"))


def fields(kind, r, site, variant=None):
    """The fields of one entry, without its time; its variant, one of VARIANTS, is drawn if none is given."""
    e = {}

    def span(least, most):
        e["for_s"] = round(r.uniform(least, most), 2)

    def how(*parts):
        text = " ".join(part for part in parts if part)
        if text:
            e["how"] = text

    most = max(site.tolerate, 1)
    core = r.choice(who(r))
    if variant is None:
        variant = r.choice(VARIANTS.get(kind, ("",)))
    if kind == "core_cut":
        e["count"] = r.randint(1, most)
        # One in three lasts as long as the users tell of: some twenty seconds.
        span(*((17, 24) if r.random() < .34 else (1, 12)))
        how(variant, core, after(r))
    elif kind == "node_cut":
        e["share"] = round(r.uniform(.1, .6), 2)
        span(*((17, 22) if r.random() < .2 else (1, 12)))
        how(variant)
    elif kind == "node_kill":
        e["on"] = r.choice(("core", "front"))
        if e["on"] == "core":
            e["count"] = r.randint(1, most)
        else:
            e["share"] = round(r.uniform(.1, .4), 2)
        span(.3, 8)
        how(variant, core, after(r))
    elif kind == "node_freeze":
        e["on"] = r.choice(("core", "front"))
        e["count"] = r.randint(1, most)
        span(.5, 20)
        how(core, after(r))
    elif kind == "herd_kill":
        e["share"] = round(r.uniform(.2, 1), 2)
        e["on"] = r.choice(("core", "front"))
        span(.3, 4)
        how(variant, after(r))
    elif kind == "replace_core":
        e["x"] = round(r.uniform(.2, 4), 2)
        how(variant, core, after(r))
    elif kind in ("after_ack_kill", "after_ack_wipe"):
        e["count"] = r.randint(1, most)
        span(.5, 5)
        how(variant)
    elif kind == "disk_slow":
        e["count"] = r.randint(1, most)
        e["x"] = round(r.uniform(10, 120), 1)
        span(2, 12)
        how(core)
    elif kind == "clock_step":
        e["share"] = round(r.uniform(.2, 1), 2)
        e["x"] = r.randint(500, 20000)
        span(2, 15)
        how(variant, r.choice(("", "", "leader")))
    elif kind == "config_change":
        how(variant)
    elif kind == "config_storm":
        e["gap_s"] = round(r.uniform(.06, .3), 2)
        span(2, 20)
        how(variant)
    elif kind == "config_race":
        e["count"] = r.randint(2, 12)
        e["gap_s"] = round(r.uniform(.1, 1.2), 2)
    elif kind == "bad_config":
        e["count"] = r.randint(1, 6)
        e["gap_s"] = round(r.uniform(.1, .6), 2)
        how(variant)
    elif kind == "big_config":
        e["count"] = r.randint(50, site.idle_routes * 2 + 300)
    elif kind == "roll_term":
        e["share"] = round(r.uniform(.2, 1), 2)
        e["x"] = float(r.choice((1, 1, 2, 4)))
        e["gap_s"] = round(r.uniform(.5, 2), 2)
        how(variant)
    elif kind == "release":
        e.update(service=site.service, share=round(r.uniform(.15, .6), 2), x=float(r.randint(1, 3)),
                 gap_s=round(r.uniform(.5, 1.2), 2))
    elif kind == "scale_in":
        e["share"] = round(r.uniform(.1, .3), 2)
        how(variant)
    elif kind == "scale_out":
        e["share"] = round(r.uniform(.1, .4), 2)
        e["gap_s"] = round(r.uniform(.5, 3), 2)
    elif kind == "hup":
        e["share"] = round(r.uniform(.2, 1), 2)
        e["gap_s"] = round(r.uniform(.5, 3), 2)
    elif kind == "replace_with_reuse":
        e["share"] = round(r.uniform(.1, .35), 2)
        how(variant)
    elif kind == "srv_crash":
        e["share"] = round(r.uniform(.1, .3), 2)
        span(2, 8)
        far = spread(r)
        # With no server of a service left for good, nothing can be kept.
        how(variant, "" if "gone" in variant else far)
    elif kind == "srv_grey":
        e["share"] = round(r.uniform(.1, .35), 2)
        e["x"] = round(r.uniform(.2, .7), 2)
        span(3, 10)
        if variant == "slow":
            e["x"] = round(r.uniform(3, 10), 1)
        how(variant, r.choice(("", "", "one_zone")), spread(r))
    elif kind == "srv_flap":
        e["share"] = round(r.uniform(.1, .3), 2)
        e["gap_s"] = round(r.uniform(.4, 2), 2)
        span(3, 10)
    elif kind == "srv_lying_health":
        e["share"] = round(r.uniform(.1, .3), 2)
        span(3, 10)
        how(variant, spread(r))
    elif kind == "idle_race":
        e["share"] = round(r.uniform(.3, 1), 2)
        e["x"] = r.randint(50, 600)
        span(4, 15)
    elif kind == "answer_lost":
        e["share"] = round(r.uniform(.3, 1), 2)
        e["x"] = round(r.uniform(.02, .08), 3)
        span(4, 15)
        how(variant)
    elif kind == "garble":
        e["share"] = round(r.uniform(.3, 1), 2)
        e["x"] = round(r.uniform(.02, .06), 3)
        span(4, 12)
        how(variant)
    elif kind == "burst":
        e["x"] = round(r.uniform(1.2, 2.2), 2)
        span(2, 8)
    elif kind == "retry_abuse":
        e["share"] = round(r.uniform(.05, .3), 2)
        e["x"] = float(r.randint(1, 3))
        span(2, 6)
    elif kind == "srv_slow":
        e["share"] = round(r.uniform(.1, .35), 2)
        e["x"] = round(r.uniform(2, 8), 1)
        span(3, 10)
        how(spread(r))
    elif kind == "node_slow":
        e["share"] = round(r.uniform(.1, .4), 2)
        e["x"] = round(r.uniform(3, 10), 1)
        span(2, 10)
    elif kind in ("disk_full", "disk_stall"):
        e["count"] = r.randint(1, most)
        span(1, 12)
        how(core)
    elif kind == "reset_conns":
        e["share"] = round(r.uniform(.1, 1), 2)
        e["x"] = round(r.uniform(.3, 1), 2)
    elif kind == "ack_lost":
        e["x"] = round(r.uniform(.4, .95), 2)
        span(3, 25)
    return e


def entries(kind, r, site, length, variant=None):
    at = round(r.uniform(1.5, length - 12), 2)
    if kind == "many_orders":
        # Four pairs on one version each at nearly the same moment, while the ones before are under way: eight orders.
        return [dict(at=round(at + i * .02, 2), kind="config_race", count=r.randint(3, 6), gap_s=round(r.uniform(.1, .3), 2))
                for i in range(4)]
    if kind == "hundreds":
        return [dict(at=at, kind="config_storm", count=r.randint(150, 300), gap_s=round(r.uniform(.06, .12), 2),
                     how=r.choice(("route", "weights", "timeout")))]
    if kind == "roll_core":
        return [dict(at=at, kind="roll_term", on="core", share=1.0, x=1.0, gap_s=round(r.uniform(2, 5), 2),
                     how=r.choice(("busy", "remove")))]
    return [dict(at=at, kind=kind, **fields(kind, r, site, variant))]


def text(value):
    return '"%s"' % value if isinstance(value, str) else str(value)


class Site:
    def __init__(self, bench, path):
        page = open(path).read()
        self.stem = os.path.splitext(os.path.basename(path))[0]
        self.service = re.search(r'services = \[\s*\{ name = "([^"]+)"', page).group(1)
        self.tolerate = int(re.search(r"\[tolerate\]\s*machines = (\d+)", page).group(1))
        self.idle_routes = int(re.search(r"idle_routes = (\d+)", page).group(1))
        told = subprocess.check_output([bench, "kinds", path], text=True)
        contracts = re.findall(r'"(\w+)"', re.search(r"^contracts = (.*)", page, re.M).group(1))
        # The bench's page leaves out kinds of contracts in force that it plays all the same.
        open_too = {kind for contract, kinds in KINDS.items() if contract in contracts for kind in kinds}
        self.kinds = sorted(open_too | set(re.findall(r"^([a-z_]+): ", told, re.M)))


def dealt(site, seed, count):
    """Kinds with a variant each, dealt from shuffled packs that hold each pair once: `count` a day, so that days with seeds in a
    row leave none out and repeat none before all have come."""
    pack = [(kind, how) for kind in site.kinds for how in VARIANTS.get(kind, ("",))]
    first = seed * count
    pairs = []
    for i in range(first, first + count):
        turn, at = divmod(i, len(pack))
        order = list(pack)
        random.Random(f"{site.stem} {VERSION} pack {turn}").shuffle(order)
        pairs.append(order[at])
    return pairs


def day(site, seed, length, dense, brisk):
    mark = "d" * dense + "b" * brisk
    r = random.Random(f"{site.stem} {VERSION} {seed}" + " dense" * dense + " brisk" * brisk)
    known = site.kinds + [name for name, kind in GROUPS.items() if kind in site.kinds]
    lean = LEANS[seed % 8] if seed % 8 < len(LEANS) else known
    lean = [kind for kind in lean if kind in known] or known
    rows = []
    for kind, how in dealt(site, seed, DEALT * 2 if dense else DEALT):
        rows += entries(kind, r, site, length, how)
    for i in range(r.randint(18, 28) if dense else r.randint(4, 10)):
        rows += entries(r.choice(lean), r, site, length)
    for row in rows:
        if brisk and "for_s" in row:
            row["for_s"] = round(min(row["for_s"], r.uniform(.2, 2.5)), 2)
    return page(f"drawn-{VERSION}-{seed}{mark}", rows, CLOSINGS[seed % len(CLOSINGS)], length, r)


def page(name, rows, closing, length, r):
    """The text of a day: its entries in order of time, under a closing fault."""
    rows = sorted(rows, key=lambda row: row["at"])
    kind, how = closing
    closing = f'closing = {{ kind = "{kind}", down_s = {r.uniform(.5, 4):.2f}' + (f', how = "{how}"' if how else "") + " }"
    out = [f'name = "{name}"', 'slot = "trouble"', f"seed = {r.randrange(1 << 30)}", closing, "one = 0.9", "zero = 0.5",
           "goal = { floor = 0.3 }", f"length_s = {length}"]
    for part, planned in (("plan", True), ("faults", False)):
        lines = ["  { " + ", ".join(f"{k} = {text(v)}" for k, v in row.items()) + " }," for row in rows
                 if (row["kind"] in PLANNED) == planned]
        out.append(f"{part} = [\n" + "\n".join(lines) + "\n]")
    return "\n".join(out) + "\n"


def main():
    a = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    a.add_argument("bench")
    a.add_argument("site")
    a.add_argument("first", type=int)
    a.add_argument("count", type=int)
    a.add_argument("folder")
    a.add_argument("--length", type=float, default=60.0)
    a.add_argument("--dense", action="store_true")
    a.add_argument("--brisk", action="store_true")
    o = a.parse_args()
    site = Site(o.bench, o.site)
    os.makedirs(o.folder, exist_ok=True)
    for seed in range(o.first, o.first + o.count):
        with open(os.path.join(o.folder, f"{site.stem}-{VERSION}-{seed}{'d' * o.dense}{'b' * o.brisk}.toml"), "w") as file:
            file.write(day(site, seed, o.length, o.dense, o.brisk))


if __name__ == "__main__":
    main()
