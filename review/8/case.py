"""A machine joins the system shortly before the store comes back from an older copy. Nobody waits for it any more when
the primary changes: it reads from the former primary as if that still led."""
import asyncio
import itertools
import os
import pathlib
import signal
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from drill import Caller, Deployment  # noqa: E402
import member  # noqa: E402

member.REPLICATION_DELAY_S = 0.06  # "replicas 60 ms behind"

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("regina", "saskatoon", "brandon", "winnipeg")
AWAY_S = 0.5  # "away for a moment"
FREEZE_S = 2.4  # at most; the site file has node_freeze for 3.5 s
KEY = "key-of-the-counter"
SERVICE = "ledger"
started = time.monotonic()
record_file = open(FOLDER / "record.txt", "w", encoding="utf-8")


def record(text):
    print(f"{time.monotonic() - started:7.3f} {text}", file=record_file, flush=True)


def config(version):
    return {"version": version,
            "routes": [{"name": "sales", "db_name": "sales", "type": "primary", "timeout_ms": 1000,
                        "target_latency_ms": 400, "priority": 1, "backend": SERVICE, "public": False}],
            "services": [{"name": SERVICE, "max_conns": 32, "sync_replicas": 1}],
            "limits": {"txn_idle_ms": 5000},
            "tenants": [{"name": "counter", "api_keys": [KEY], "rate_per_s": 2000, "burst": 2000}]}


class Counter:
    """Requesters that each raise the one item "stock"; the newest acknowledged value is known at all times."""

    def __init__(self):
        self.numbers, self.acknowledged = itertools.count(1), []

    async def keep_writing(self, node):
        caller = None
        while True:
            try:
                if caller is None:
                    caller = Caller()
                    if await caller.connect(node, "sales", KEY) != ["READY I -"]:
                        raise ConnectionError
                number = next(self.numbers)
                answer = await caller.ask(f"w{number}", f"WRITE item{number} {number}")
                if answer[0].startswith("COMPLETE"):
                    self.acknowledged.append((time.monotonic(), number, answer[0].split()[1]))
                if not answer[-1].startswith("READY I"):
                    raise ConnectionError
                await asyncio.sleep(0.01)
            except OSError:
                if caller:
                    caller.close()
                caller = None
                await asyncio.sleep(0.05)


async def read(caller, request, item):
    sent = time.monotonic()
    return sent, request, item, await caller.ask(request, f"READ {item}")


async def play(deployment):
    await deployment.start()
    await deployment.configure(config(4))
    for index, zone in enumerate(("regina", "regina", "saskatoon", "saskatoon", "brandon", "winnipeg")):
        deployment.add_node(f"front-{zone}-{index}", zone)
    if not await deployment.until_ready():
        record("the nodes are not ready")
        return 2
    await asyncio.sleep(3)
    store, group = deployment.store, deployment.groups[SERVICE]
    copied = store.snapshot()
    record(f"store: version {store.version}, the copy is taken")
    added = deployment.add_node("front-regina-6", "regina")
    record(f"planned: machine {added.name} is added")
    if not await deployment.until_ready():
        return 2
    await asyncio.sleep(1.5)
    if TROUBLE:
        record(f"store: away at version {store.version}")
        await store.go_away()
        await asyncio.sleep(AWAY_S)
        await store.come_back(copied)
        record(f"store: back from the copy, version {store.version}, Store-Era {store.era}")
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(10)
    record(f"store: the row of {added.name}: {store.document('sycamorespan', 'instance/' + added.name)}")
    counter = Counter()
    tasks = [asyncio.create_task(counter.keep_writing(node)) for node in deployment.nodes if node is not added
             for _ in range(3)]
    readers = [Caller() for _ in range(24)]
    for index, caller in enumerate(readers):
        if await caller.connect(added, "sales", KEY) != ["READY I -"]:
            return 2
        await caller.ask(f"first{index}", "READ none")
    await asyncio.sleep(2)
    old = group.primary()
    added.process.send_signal(signal.SIGSTOP)
    frozen = time.monotonic()
    record(f"machine {added.name} freezes")
    deployment.draining.add(old.id)
    record(f"planned: primary {old.id} is to be replaced and reports that it drains")
    promoted = None
    reads = []
    while time.monotonic() < frozen + FREEZE_S and not reads:
        await asyncio.sleep(0.002)
        if promoted is None and group.primary() not in (None, old):
            promoted = time.monotonic()
            record(f"member {group.primary().id} leads term {group.term}")
        done = [each for each in counter.acknowledged if promoted and each[0] > promoted]
        if len(done) >= 8:
            record(f"{len(done)} writes acknowledged since the promotion; {len(readers)} requesters now read")
            reads = [asyncio.create_task(read(caller, f"read{index}", f"item{done[-1 - index % 4][1]}"))
                     for index, caller in enumerate(readers)]
            await asyncio.sleep(0.004)
    added.process.send_signal(signal.SIGCONT)
    record(f"machine {added.name} wakes after {time.monotonic() - frozen:.2f} s")
    if not reads:
        record("no write was acknowledged by a new primary meanwhile")
        done = counter.acknowledged
        reads = [asyncio.create_task(read(caller, f"read{index}", f"item{done[-1 - index % 4][1]}"))
                 for index, caller in enumerate(readers)]
    stale = 0
    values = {f"item{number}": (at, str(number)) for at, number, _ in counter.acknowledged}
    for sent, request, item, answer in await asyncio.gather(*reads):
        at, value = values[item]
        ran = next((member.id for member in group.members.values() if any(run[1] == request for run in member.ran)), None)
        is_stale = answer[0].startswith("ROW") and answer[0] != f"ROW {value}"
        stale += is_stale
        record(f"{request}: {item} acknowledged {(sent - at) * 1000:.0f} ms before the read was sent; answer "
               f"{' / '.join(answer)}; run by {ran}" + (" - lacks the commit" if is_stale else ""))
    await asyncio.sleep(3)
    for task in tasks:
        task.cancel()
    if group.primary() in (None, old):
        record("the primary was not replaced")
        return 2
    record(f"{stale} of {len(reads)} reads ran on a log that lacks a commit that was acknowledged before")
    return 1 if stale else 0


async def main():
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment([SERVICE], ZONES, pathlib.Path(folder), record)
        try:
            return await asyncio.wait_for(play(deployment), 100)
        except Exception as failure:  # an error of the script is no result
            record(f"the case could not run: {failure!r}")
            return 2
        finally:
            for node in deployment.nodes:
                if node.process and node.process.poll() is None:
                    node.process.send_signal(signal.SIGCONT)
            deployment.stop()
            if os.environ.get("KEEP_LOGS"):
                for node in deployment.nodes:
                    pathlib.Path(os.environ["KEEP_LOGS"], node.log_path.name).write_bytes(node.log_path.read_bytes())


if __name__ == "__main__":
    result = asyncio.run(main())
    record(f"result {result}")
    sys.exit(result)
