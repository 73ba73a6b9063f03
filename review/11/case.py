"""A key is withdrawn while its requester is inside a transaction, which goes on with up to 12 statements."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
from harness import (BROKEN, CONFIG_APPLY_MS, HELD, STABLE_WINDOW_S, TROUBLE, Client, Node, Platform,  # noqa: E402
                     run)

PAUSE_S = 1.0  # between the statements; the configuration ends transactions that are idle for 3 s
STATEMENTS = 12  # of the transaction, its COMMIT included
FIRST_LATE_STATEMENT = 6  # the first READ of the second requester, 5 s after the acknowledgement
KEY, OTHER_KEY = "key-of-the-counter", "key-of-the-office"


async def play(record, temporary):
    platform = Platform(["ledger"])
    await platform.start()
    routes = {"sale": ("ledger", "primary", 0)}
    await platform.configure(routes, {"shop": ([KEY], 100, 100), "office": ([OTHER_KEY], 100, 100)}, idle_ms=3000)
    node = Node(platform, "front-regina-1", "a", temporary)
    node.start()
    try:
        await node.await_ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1)  # the machine is in touch
        sent_at = {}
        # "late" begins its transaction before the withdrawal and sends only SET until it is long in force.
        caller, late_caller, probe = Client(record, "c"), Client(record, "late"), Client(record, "p")
        await caller.connect(node.front, "sale", KEY)
        await late_caller.connect(node.front, "sale", KEY)
        await probe.connect(node.front, "sale", KEY)
        await probe.ask("READ crib-7")
        await caller.ask("BEGIN")
        await late_caller.ask("BEGIN")
        acked = None
        for number in range(1, STATEMENTS + 1):
            text = {STATEMENTS - 1: "WRITE crib-7 sold", STATEMENTS: "COMMIT"}.get(number, "READ crib-7")
            request = f"c{caller.sent + 1}"
            sent_at[request] = record.now()
            lines = await caller.ask(text)
            if not lines[-1]:
                break
            if number == 1:
                keys = {"shop": [KEY], "office": []} if not TROUBLE else {"shop": [], "office": [OTHER_KEY]}
                await platform.configure(routes, {name: (each, 100, 100) for name, each in keys.items()}, idle_ms=3000)
                acked = record.now()
                record(f"version {platform.version} acknowledged, without the key of "
                       f"{'shop' if TROUBLE else 'office'}")
            text = "READ crib-8" if number == FIRST_LATE_STATEMENT else f"SET step {number}"
            if number <= FIRST_LATE_STATEMENT:
                request = f"late{late_caller.sent + 1}"
                if text.startswith("READ"):
                    sent_at[request] = record.now()
                await late_caller.ask(text)
            await asyncio.sleep(PAUSE_S)
        probe.sent += 1
        await probe.ask("READ crib-7")
        late = []
        for member in platform.groups["ledger"].members.values():
            for each in member.runs:
                if each.request in sent_at:
                    after = sent_at[each.request] - acked
                    record(f"run by {member.id}: {each.request} {each.word} {each.arguments}, workspace "
                           f"{each.workspace}, sent {after:+.3f} s after the acknowledgement")
                    if after > CONFIG_APPLY_MS / 1000:
                        late.append(each.request)
        value = platform.groups["ledger"].primary().value("crib-7")
        record(f"crib-7 at the primary: {value}")
        if not TROUBLE:
            record(f"{len(late)} statements with a key that is in force ran later than {CONFIG_APPLY_MS} ms")
            return HELD if value == "sold" else BROKEN
        record(f"{len(late)} statements ran although they were sent later than {CONFIG_APPLY_MS} ms after the "
               "acknowledgement of a version without their key")
        return BROKEN if late else HELD
    finally:
        node.stop()


run(FOLDER, play)
