#!/usr/bin/env python3
"""Checks that docs/LOGS.md lists exactly the events that the node's source code logs."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = [*sorted((ROOT / "programs/node").glob("*.cpp")),
           ROOT / "sycamorespan/src/Failover/supervision.cpp",
           ROOT / "sycamorespan/src/Failover/synchronous_change.cpp"]
# Matches the arguments of a logging call up to its fields. The event is the first string, or each
# of the two strings of a conditional expression.
CALL = re.compile(r'(?:m_log\.write|m_logger\.write|noteEvent)\((.*?)[{;]', re.DOTALL)


def logged_events():
    events = set()
    for source in SOURCES:
        for call in CALL.finditer(source.read_text()):
            events.update(re.findall(r'"([^"]+)"', call.group(1)))
    return events


def documented_events():
    rows = re.findall(r'^\|(.*?)\|', (ROOT / "docs/LOGS.md").read_text(), re.MULTILINE)
    return {event for row in rows for event in re.findall(r'`([^`]+)`', row)}


def main():
    logged, documented = logged_events(), documented_events()
    for event in sorted(logged - documented):
        print(f'docs/LOGS.md does not list the event "{event}"')
    for event in sorted(documented - logged):
        print(f'docs/LOGS.md lists the event "{event}", which no source file logs')
    if logged != documented:
        sys.exit(1)
    print(f"logs: docs/LOGS.md lists all {len(logged)} events")


main()
