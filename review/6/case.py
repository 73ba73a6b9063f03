"""A process of the system is stopped and started, as planned, while the store is away and the entries of the members
lapse. It takes the members that are back first for all of them, replaces a primary that works, and loses acknowledged
commits."""
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
from drill import HEARTBEAT_S, Caller, Deployment  # noqa: E402
import member  # noqa: E402

member.STATEMENT_DURATION_S = 0.033  # "work ms" of recall-check on the sheet, a kind that reads and writes

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("regina", "saskatoon", "brandon", "winnipeg")
AWAY_S = 4.5  # the longest platform_down of the site file
STOP_S = 2.05  # SIGTERM, after the store went away
GRACE_S = 6.0  # grace_s
RESTART_S = 0.2  # "a process that exits or is killed is restarted after a short delay"
LAPSE_S = 3 * HEARTBEAT_S  # "after three check-in intervals of silence"
# When each member checks in again after the store's return, at most a heartbeat: "within about two seconds".
BACK_S = {"i-ledger-1": 1.15, "i-ledger-2": 1.1, "i-ledger-3": 0.05}
KEY = "key-of-the-counter"
SERVICE = "ledger"
started = time.monotonic()
record_file = open(FOLDER / "record.txt", "w", encoding="utf-8")


def record(text):
    print(f"{time.monotonic() - started:7.3f} {text}", file=record_file, flush=True)


def config(version):
    return {"version": version,
            "routes": [{"name": "recall", "db_name": "recall", "type": "read_own", "max_staleness_ms": 2500,
                        "timeout_ms": 1000, "target_latency_ms": 400, "priority": 2, "backend": SERVICE,
                        "public": False}],
            "services": [{"name": SERVICE, "max_conns": 32, "sync_replicas": 1}],
            "limits": {"txn_idle_ms": 5000},
            "tenants": [{"name": "counter", "api_keys": [KEY], "rate_per_s": 1000, "burst": 1000}]}


class Writers:
    """Requesters that write one item after the other, each in its own session, and note what was acknowledged."""

    def __init__(self):
        self.acknowledged, self.numbers, self.answers = [], itertools.count(1), {}

    async def keep_writing(self, node):
        caller = None
        while True:
            try:
                if caller is None:
                    caller = Caller()
                    if await caller.connect(node, "recall", KEY) != ["READY I -"]:
                        raise ConnectionError
                item = f"crib{next(self.numbers)}"
                answer = await caller.ask(item, f"WRITE {item} checked")
                word = " ".join(answer[0].split()[:2]) if answer[0].startswith("ERROR") else answer[0].split()[0]
                self.answers[word] = self.answers.get(word, 0) + 1
                if answer[0].startswith("COMPLETE"):
                    self.acknowledged.append((time.monotonic() - started, item, answer[0].split()[1]))
                if not answer[-1].startswith("READY I"):
                    raise ConnectionError
                await asyncio.sleep(0.02)
            except OSError:
                if caller:
                    caller.close()
                caller = None
                await asyncio.sleep(0.1)


async def stop_and_start(node):
    """Planned work, as in a rolling restart."""
    node.process.send_signal(signal.SIGTERM)
    record(f"planned: SIGTERM for {node.name}, which last wrote to the store under a condition")
    deadline = time.monotonic() + GRACE_S
    while node.process.poll() is None and time.monotonic() < deadline:
        await asyncio.sleep(0.01)
    node.kill()
    record(f"{node.name} has stopped")
    await asyncio.sleep(RESTART_S)
    node.start()
    record(f"{node.name} is started again")


async def lapse(deployment, away_at):
    """The store forgets the members that were silent for three check-in intervals; each is back at its next one."""
    await asyncio.sleep(max(0, away_at + LAPSE_S - time.monotonic()))
    for member in deployment.members():
        deployment.store.rows.pop(("servers", member.id), None)
    record("store: the entries of the members have lapsed")


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
    writers = Writers()
    tasks = [asyncio.create_task(writers.keep_writing(node)) for node in deployment.nodes for _ in range(3)]
    await asyncio.sleep(2)
    leader = next(node for node in deployment.nodes
                  if node.name == store.document("sycamorespan", "supervisor")["holder"])
    record(f"primary {group.primary().id}, term {group.term}; {len(writers.acknowledged)} writes acknowledged")
    away_at = time.monotonic()
    if TROUBLE:
        record("store: away")
        deployment.back_after = BACK_S
        lapsing = asyncio.create_task(lapse(deployment, away_at))
        await store.go_away()
        await asyncio.sleep(STOP_S)
        restart = asyncio.create_task(stop_and_start(leader))
        await lapsing
        await asyncio.sleep(max(0, away_at + AWAY_S - time.monotonic()))
        await store.come_back()
        deployment.returned_at = time.monotonic()
        record("store: back")
        await restart
    else:
        await asyncio.sleep(STOP_S)
        await stop_and_start(leader)
    await asyncio.sleep(8)
    for task in tasks:
        task.cancel()
    record(f"requesters: {len(writers.acknowledged)} writes acknowledged; answers {writers.answers}")
    await asyncio.sleep(0.5)
    primary = group.primary()
    held = {item for _, _, item, _ in primary.log}
    lost = [each for each in writers.acknowledged if each[1] not in held]
    record(f"primary {primary.id}, term {group.term}: its log holds {len(held)} writes")
    for at, item, receipt in lost:
        record(f"    acknowledged at {at:.3f}: {item}, receipt {receipt}; not in the log of {primary.id}")
    record(f"{len(lost)} acknowledged commits are not in the log of the promoted member")
    return 1 if lost else 0


async def main():
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment([SERVICE], ZONES, pathlib.Path(folder), record)
        try:
            return await asyncio.wait_for(play(deployment), 100)
        except Exception as failure:  # an error of the script is no result
            record(f"the case could not run: {failure!r}")
            return 2
        finally:
            deployment.stop()
            if os.environ.get("KEEP_LOGS"):
                for node in deployment.nodes:
                    pathlib.Path(os.environ["KEEP_LOGS"], node.log_path.name).write_bytes(node.log_path.read_bytes())


if __name__ == "__main__":
    result = asyncio.run(main())
    record(f"result {result}")
    sys.exit(result)
