"""The store's answer to a transaction names its newest version, which another writer's transaction has just raised.

All processes are killed in the final fault, and the primary is lost in it. The first write of the change of primary is
the one that another writer's transaction follows before its answer. TROUBLE=0: the other writer comes after the answer.
"""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
from harness import BROKEN, HELD, STABLE_WINDOW_S, TROUBLE, Client, Node, Platform, run  # noqa: E402

ZONES = ("a", "b", "c")
DOWN_S = 0.8
RECOVERY_S = 12  # bounds.recovery_s
COUNTED_S = 8  # how long requests are counted before the final fault, and after the recovery
PAUSE_S = 0.1  # between two requests of a requester
LISTED_S = 3.6  # for which the entry of a silent member stays: three check-in intervals
KEY = "key-of-the-shop"


class Interleaving:
    """Performs one transaction of another writer right after the next write of a view, before its answer."""

    def __init__(self, record, store, other_writer):
        self.record, self.store, self.other_writer = record, store, other_writer
        self.plain_write, self.is_armed = store.write, False
        store.write = self.write

    async def write(self, expected, written, removed):
        views = [each["key"] for each in written if each["key"].startswith("primary/")]
        conflict = await self.plain_write(expected, written, removed)
        if views and conflict is None:
            self.record(f"store: performed a write of {views[0]} as version {self.store.version}")
        elif views:
            self.record(f"store: refused a write of {views[0]} that expects version {expected[0]['ver']}: "
                        f"the row has {conflict[0]['ver'] if conflict else 'none'}")
        if views and conflict is None and self.is_armed:
            self.is_armed = False
            if TROUBLE:
                await self.other_writer()
            else:
                asyncio.get_running_loop().call_later(0.05, lambda: asyncio.ensure_future(self.other_writer()))
        return conflict


async def play(record, temporary):
    platform = Platform(["ledger"], data_centres=ZONES)
    await platform.start()
    routes = {"sale": ("ledger", "primary", 0), "check": ("ledger", "read_own", 2500)}
    workspaces = {"shop": ([KEY], 1000, 1000)}
    await platform.configure(routes, workspaces)
    group, store = platform.groups["ledger"], platform.store
    primary = group.primary()
    replica = next(each for each in group.members.values() if each is not primary)

    async def check_in():
        entry = platform.entry(replica, list(group.members.values()).index(replica)) | {"seq": 1}
        await store.put("servers", replica.id, entry)
        record(f"store: performed the check-in of {replica.id} as version {store.version}")

    lost_at, plain_drop = None, store.drop

    async def drop(table, key):
        if key != primary.id or time.monotonic() > lost_at + LISTED_S:
            await plain_drop(table, key)

    store.drop = drop
    interleaving = Interleaving(record, store, check_in)
    nodes = [Node(platform, f"front-{zone}", zone, temporary) for zone in ZONES]
    tasks = []
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            await node.await_ready()
        await asyncio.sleep(STABLE_WINDOW_S)
        outcomes = []  # (time sent, succeeded, answer)

        async def requester(node, route, text):
            while True:
                sent, answer = time.monotonic(), "no connection"
                try:
                    client = Client()
                    await client.connect(node.front, route, KEY)
                    lines = await client.ask(text)
                    answer = lines[-2].decode("latin-1").strip() if len(lines) > 1 else "(closed)"
                    client.close()
                except (OSError, asyncio.TimeoutError, IndexError):
                    pass
                outcomes.append((sent, answer.startswith("COMPLETE"), answer, f"{node.name} {route}: {text}"))
                await asyncio.sleep(PAUSE_S)

        for node in nodes:
            for route, text in (("sale", "WRITE crib-7 sold"), ("sale", "READ crib-7"), ("check", "READ crib-8")):
                tasks.append(asyncio.create_task(requester(node, route, text)))
        await asyncio.sleep(COUNTED_S)

        def served(first, last):
            counted = [each for each in outcomes if first <= each[0] < last]
            return sum(each[1] for each in counted), len(counted)

        before = served(time.monotonic() - COUNTED_S, time.monotonic())
        record(f"before the final fault {before[0]} of {before[1]} requests were served")
        await platform.configure(routes, workspaces, idle_ms=2500)
        record(f"final fault, right after version {platform.version} is acknowledged: all processes are killed; the "
               f"primary {primary.id} is lost")
        lost_at = time.monotonic()
        for node in nodes:
            node.stop()
        await primary.kill()
        interleaving.is_armed = True
        await asyncio.sleep(DOWN_S)
        for node in nodes:
            node.start()
        back = time.monotonic()
        record("all processes are started again")
        await asyncio.sleep(RECOVERY_S + COUNTED_S)
        after = served(back + RECOVERY_S, back + RECOVERY_S + COUNTED_S)
        record(f"from {RECOVERY_S} s after that on {after[0]} of {after[1]} requests were served")
        record(f"last answers: {sorted({each[2].split('.')[0][:90] for each in outcomes[-30:]})}")
        record(f"promotions ordered: {len(platform.orders)}; primary now: {group.primary() and group.primary().id}")
        for sent, _, answer, request in outcomes:
            record.file.write(f"{sent - record.start:8.3f} sent to {request} | answered {answer[:100]}\n")
        for member in group.members.values():
            record(f"{member.id} ran {len(member.runs)} statements")
        if interleaving.is_armed or before[0] * 4 < before[1]:
            raise RuntimeError("no view was written, or too little was served before the final fault")
        return BROKEN if after[0] * 4 < after[1] else HELD
    finally:
        for task in tasks:
            task.cancel()
        for node in nodes:
            node.stop()


run(FOLDER, play)
