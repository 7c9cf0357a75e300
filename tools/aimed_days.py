#!/usr/bin/env python3
"""Writes days for the gateway's bench that each aim at one weak place of the control side; `docs/design/control/hunts.md` lists them.

    aimed_days.py BENCH SITE.toml SEED FOLDER [NAME ...]

Writes FOLDER/<site>-<NAME>-<SEED>.toml for `BENCH run SITE FILE`, all of AIMS if no NAME is given. The seed sets the luck, the
variants and moments within an aim, and takes the closing fault in turn, so that eleven seeds play all eleven on each aim. A trouble that would lose
more than `tolerate` says waits its turn at the bench; what the bench does not know under the site's contracts is left out.
"""
import argparse
import os
import random

from draw_days import CLOSINGS, Site, page

RETURNS = "meet race hard drain"


def entry(at, kind, how="", **fields):
    row = dict(at=round(at, 2), kind=kind, **fields)
    if how:
        row["how"] = how
    return row


def every(first, step, last, make):
    rows, at = [], first
    while at < last:
        rows += make(at, len(rows))
        at += step
    return rows


def dark_after_replacement(r, site):
    """All keepers lose power as soon as the bench allows after a member was replaced."""
    ways = ("planned", "leader", "planned leader", "reader")
    return every(2, 13, 50, lambda at, n: [
        entry(at, "replace_core", ways[n // 3 % 4], x=round(r.uniform(.2, 2), 2)),
        entry(at + r.uniform(.3, 1), "config_storm", "route", count=20, gap_s=.1),
        entry(at + r.uniform(.5, 1.5), "herd_kill", "power", on="core", share=1.0, for_s=round(r.uniform(.3, 1), 2))])


def storm_over_restarts(r, site):
    """Hundreds of changes while all that count are restarted in turn, three times."""
    return [entry(2, "config_storm", r.choice(("route", "weights")), count=r.randint(250, 400), gap_s=.08),
            entry(30, "config_storm", "timeout", count=200, gap_s=.08),
            entry(6, "ack_lost", x=.5, for_s=20)] + every(4, 15, 50, lambda at, n: [
                entry(at, "roll_term", ("busy", "", "busy")[n % 3], on="core", share=1.0, x=1.0, gap_s=round(r.uniform(2, 4), 2)),
                entry(at + 12, "node_kill", "power leader", on="core", count=1, for_s=1.0)])


def three_cuts(r, site):
    """Three cuts of 20 s in turn, with changes, races and leaving servers at the return."""
    ways = ["one_way", "both", "seeds", "reset", "refuse", ""]
    r.shuffle(ways)
    return every(3, 29, 80, lambda at, n: [
        entry(at, "core_cut", " ".join(w for w in (ways[n // 4], r.choice(("leader", "reader", "seed", "")), RETURNS) if w),
              count=max(site.tolerate, 1), for_s=20.0),
        entry(at + 2, "config_race", count=12, gap_s=1.4),
        entry(at + 4, "scale_in", share=.1),
        entry(at + 19, "config_storm", "route", count=30, gap_s=.1)])


def wiped_after_planned(r, site):
    """As many as may be lost come back with empty disks right after a planned replacement."""
    return every(2, 14, 52, lambda at, n: [
        entry(at, "replace_core", "planned" + r.choice((" leader", " reader", "")), x=round(r.uniform(.2, 1.5), 2)),
        entry(at + r.uniform(.3, 2), "after_ack_wipe", r.choice(("kill", "timed", "taken", "")), count=max(site.tolerate, 1),
              for_s=round(r.uniform(.5, 2), 2)),
        entry(at + .5, "config_race", count=4, gap_s=.3)])


def disks_during_replacement(r, site):
    """More than half of the disks are slow, stand still or are full while a member is replaced."""
    ills = ["disk_slow", "disk_stall", "disk_full"]
    return every(3, 14, 52, lambda at, n: [
        entry(at, "replace_core", r.choice(("", "planned", "leader")), x=round(r.uniform(.3, 2), 2)),
        entry(at + r.uniform(.2, 2), ills[n // 3 % 3], r.choice(("", "leader", "reader")), count=site.tolerate + 1,
              for_s=round(r.uniform(2, 6), 2), **(dict(x=60.0) if n // 3 % 3 == 0 else {})),
        entry(at + .5, "config_storm", "weights", count=30, gap_s=.15)])


def clocks(r, site):
    """The time of day jumps on all machines, ahead, back and both ways, beside losses of keepers."""
    ways = ["ahead", "back", "back ahead"]
    r.shuffle(ways)
    return every(3, 12, 50, lambda at, n: [
        entry(at, "clock_step", ways[n // 3 % 3], share=1.0, x=r.randint(2000, 20000), for_s=round(r.uniform(3, 9), 2)),
        entry(at + r.uniform(.3, 2), "node_kill", r.choice(("power", "")) + " leader race", on="core", count=max(site.tolerate, 1),
              for_s=round(r.uniform(.5, 3), 2)),
        entry(at + 1, "config_change", "timeout")])


def seeds_and_herds(r, site):
    """The settings name other seeds, and then many are killed; all keepers among them."""
    return every(2, 14, 52, lambda at, n: [
        entry(at, "seed_turnover"),
        entry(at + .5, "replace_core", r.choice(("planned", "leader", "")), x=.5),
        entry(at + 1, "hup", share=1.0, gap_s=1.0),
        entry(at + r.uniform(2, 3), "herd_kill", r.choice(("", "power", "taken")), on=("core", "front")[n // 4 % 2], share=.8,
              for_s=round(r.uniform(.4, 2), 2))])


def frozen_leader(r, site):
    """The home stands still for 5 to 20 s while orders race on one version."""
    return every(2, 19, 45, lambda at, n: [
        entry(at, "config_race", count=14, gap_s=1.2),
        entry(at + .5, "node_freeze", "leader " + r.choice((RETURNS, "race hard", "meet")), on="core", count=1,
              for_s=round(r.uniform(5, 14), 2)),
        entry(at + 1, "ack_lost", x=.6, for_s=10),
        entry(at + 3, "scale_in", share=.1)])


def answers(r, site):
    """Answers are lost, doubled or late and connections reset, while machines that answer are stopped."""
    return every(2, 12, 52, lambda at, n: [
        entry(at, "answer_lost", r.choice(("", "reset")), share=.8, x=.05, for_s=8.0),
        entry(at + .3, "garble", r.choice(("extra", "extra late", "")), share=.8, x=.04, for_s=8.0),
        entry(at + .5, "idle_race", share=.8, x=300, for_s=8.0),
        entry(at + 1, "roll_term", "busy", share=round(r.uniform(.4, 1), 2), x=2.0, gap_s=1.0),
        entry(at + 2, "reset_conns", share=.4, x=.7),
        entry(at + 4, "node_slow", share=.2, x=5.0, for_s=3.0),
        entry(at + 6, "retry_abuse", share=.2, x=2.0, for_s=3.0)])


def orders_again(r, site):
    """Acknowledgements are lost in a storm, orders are sent again to others, and the one that took them dies."""
    return [entry(1.6, "ack_lost", x=.9, for_s=50), entry(2, "config_storm", "route", count=250, gap_s=.12)] + every(
        3, 8, 52, lambda at, n: [
            entry(at, "config_race", count=6, gap_s=.15), entry(at + .04, "config_race", count=6, gap_s=.15),
            entry(at + .5, "bad_config", ("same_version", "shared_key", "stale_match", "old_version")[n // 4 % 4], count=4, gap_s=.3),
            entry(at + 1, "after_ack_kill", r.choice(("timed", "kill", "kill timed", "")), count=max(site.tolerate, 1),
                  for_s=round(r.uniform(.5, 2), 2))])


def big_in_a_storm(r, site):
    """Many routes more, again and again, in a storm, while members are replaced and all lose power."""
    return [entry(2, "config_storm", "weights", count=200, gap_s=.2)] + every(4, 12, 50, lambda at, n: [
        entry(at, "big_config", count=r.randint(60, site.idle_routes + 200)),
        entry(at + r.uniform(0, .5), ("replace_core", "node_kill", "core_cut")[n // 3 % 3], ("planned", "power leader", "one_way")[n // 3 % 3],
              **({}, dict(on="core", count=1, for_s=2.0), dict(count=1, for_s=4.0))[n // 3 % 3]),
        entry(at + 5, "herd_kill", r.choice(("power", "taken")), on="core", share=1.0, for_s=.8)])


def leavers_in_the_dark(r, site):
    """Servers leave 0.2 to 0.9 s before all keepers lose power, are cut off or are restarted."""
    return every(3, 9, 55, lambda at, n: [
        entry(at, "scale_in", r.choice(("", "spot")), share=.2),
        entry(at, "replace_with_reuse", "drain", share=.2),
        entry(at + r.uniform(.2, .9), *(("herd_kill", "power"), ("core_cut", "one_way leader"), ("roll_term", "busy"))[n // 4 % 3],
              **(dict(on="core", share=1.0, for_s=.6), dict(count=1, for_s=5.0), dict(on="core", share=1.0, x=1.0, gap_s=2.0))[n // 4 % 3]),
        entry(at + 4, "scale_out", share=.3, gap_s=1.0)])


def members_that_leave(r, site):
    """Keepers leave in turn and new ones come, with wiped disks and powerless machines between."""
    return every(2, 16, 50, lambda at, n: [
        entry(at, "roll_term", "remove", on=("core", "front")[n // 4 % 2], share=round(r.uniform(.2, .5), 2), x=1.0, gap_s=4.0),
        entry(at + 2, "replace_core", "planned", x=1.0),
        entry(at + 4, "after_ack_wipe", "timed", count=1, for_s=1.0),
        entry(at + 5, "config_storm", "idle", count=20, gap_s=.2)])


def full_disks(r, site):
    """The home's disk is full, still or slow in a storm; then power goes."""
    ills = ["disk_full", "disk_stall", "disk_slow"]
    r.shuffle(ills)
    return [entry(2, "config_storm", "route", count=300, gap_s=.15)] + every(4, 11, 50, lambda at, n: [
        entry(at, ills[n // 2 % 3], "leader", count=max(site.tolerate, 1), for_s=round(r.uniform(2, 5), 2)),
        entry(at + r.uniform(2, 6), "herd_kill", "power hard", on="core", share=1.0, for_s=.5)])


def clients_that_leave(r, site):
    """Clients leave early, from slow servers, while supervisors are killed, stopped while busy and lose connections."""
    return every(3, 14, 52, lambda at, n: [
        entry(at, "give_up", share=round(r.uniform(.2, .6), 2), x=r.choice((40.0, 80.0, 150.0, 300.0)), for_s=12.0),
        entry(at + .5, "srv_slow", share=round(r.uniform(.3, .8), 2), x=round(r.uniform(3, 12), 1), for_s=10.0),
        entry(at + r.uniform(2, 4), *((("roll_term", r.choice(("busy", ""))), ("node_kill", "power"), ("reset_conns", ""))[n % 3]),
              share=round(r.uniform(.2, .5), 2), x=1.0, gap_s=1.0, for_s=1.0),
        entry(at + r.uniform(4, 8), "config_change", "idle", count=4, gap_s=.8)])


def laden_changes(r, site):
    """A change each second on a fleet of which half and more has been taken out, under bursts, while servers leave and homes are cut off."""
    cuts = ["near", "behind", "relieve", "split", "lure", "all", "both seeds", "one_way"]
    r.shuffle(cuts)
    return [entry(1, "roll_term", "remove", share=round(r.uniform(.4, .7), 2), x=4.0, gap_s=1.0),
            entry(2, "config_storm", r.choice(("route", "weights")), count=52, gap_s=1.0),
            entry(r.uniform(4, 20), "release", service=site.service, share=round(r.uniform(.15, .4), 2), x=2.0, gap_s=1.0)] + every(
        8, 11, 50, lambda at, n: [
            entry(at, "burst", x=round(r.uniform(1.3, 2.2), 2), for_s=round(r.uniform(3, 7), 2)),
            entry(at + r.uniform(0, 3), "core_cut", " ".join((cuts[n // 4 % len(cuts)], RETURNS)), count=max(site.tolerate, 1),
                  for_s=round(r.uniform(2, 6), 2)),
            entry(at + 1, "scale_in", r.choice(("", "spot")), share=round(r.uniform(.1, .2), 2)),
            entry(at + 2, "bad_config", r.choice(("cut_short", "unknown_service", "no_weight", "no_timeout", "same_place")), count=3, gap_s=.7)])


def cuts_under_changes(r, site):
    """Each way of cutting homes off in turn, with a change each second, lost acknowledgements and races at the return."""
    cuts = ["split", "behind", "relieve", "lure", "near", "all", "oldest", "both", "seeds", "one_way", "reset"]
    r.shuffle(cuts)
    return [entry(2, "config_storm", r.choice(("route", "weights", "timeout")), count=54, gap_s=1.0),
            entry(3, "ack_lost", x=.5, for_s=50)] + every(4, 9, 54, lambda at, n: [
                entry(at, "core_cut", " ".join((cuts[n // 3 % len(cuts)], r.choice(("leader", "reader", "")), RETURNS)).replace("  ", " "),
                      count=max(site.tolerate, 1), for_s=round(r.uniform(1.5, 6), 2)),
                entry(at + 1, "config_race", count=3, gap_s=.8),
                entry(at + r.uniform(1, 4), "node_kill", r.choice(("power", "")), on="front", share=.15, for_s=1.0)])


AIMS = [dark_after_replacement, storm_over_restarts, three_cuts, wiped_after_planned, disks_during_replacement, clocks, seeds_and_herds,
        frozen_leader, answers, orders_again, big_in_a_storm, leavers_in_the_dark, members_that_leave, full_disks, clients_that_leave,
        laden_changes, cuts_under_changes]


def day(site, aim, seed):
    r = random.Random(f"{site.stem} {aim.__name__} {seed}")
    rows = [row for row in aim(r, site) if row["kind"] in site.kinds]
    length = 90.0 if aim is three_cuts else 60.0
    closing = CLOSINGS[(seed + AIMS.index(aim)) % len(CLOSINGS)]
    return page(f"{aim.__name__}-{seed}", rows, closing, length, r)


def main():
    a = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    a.add_argument("bench")
    a.add_argument("site")
    a.add_argument("seed", type=int)
    a.add_argument("folder")
    a.add_argument("names", nargs="*")
    o = a.parse_args()
    site = Site(o.bench, o.site)
    os.makedirs(o.folder, exist_ok=True)
    for aim in AIMS:
        if not o.names or aim.__name__ in o.names:
            with open(os.path.join(o.folder, f"{site.stem}-{aim.__name__}-{o.seed}.toml"), "w") as file:
                file.write(day(site, aim, o.seed))


if __name__ == "__main__":
    main()
