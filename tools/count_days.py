#!/usr/bin/env python3
"""Counts the kinds and variants of days written by draw_days.py and aimed_days.py, as a table in Markdown.

    count_days.py DAY.toml ...

A row is a kind; behind it stands how often each word of its `how` was drawn, `-` for none. What was drawn may have waited for its turn
at the bench until the day was over: the bench's own account of a day says what struck.
"""
import collections
import sys
import tomllib


def count(paths):
    drawn = collections.defaultdict(collections.Counter)
    closing = collections.Counter()
    for path in paths:
        with open(path, "rb") as file:
            day = tomllib.load(file)
        closing[" ".join((day["closing"]["kind"], day["closing"].get("how", "-")))] += 1
        for row in day["plan"] + day["faults"]:
            drawn[row["kind"]]["*"] += 1
            drawn[row["kind"]].update(row.get("how", "-").split())
    return drawn, closing


def cells(words):
    return ", ".join(f"{word} {n}" for word, n in sorted(words.items(), key=lambda pair: (-pair[1], pair[0])))


def main():
    drawn, closing = count(sys.argv[1:])
    print(f"{len(sys.argv) - 1} days.\n\n| kind | entries | words of `how` |\n| --- | --- | --- |")
    for kind, words in sorted(drawn.items()):
        total = words.pop("*")
        print(f"| `{kind}` | {total} | {cells(words)} |")
    print(f"| closing | {sum(closing.values())} | {cells(closing)} |")


if __name__ == "__main__":
    main()
