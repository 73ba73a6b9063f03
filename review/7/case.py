"""The store comes back from a copy that is older than the last claim of the duty; after all processes were killed, the
claim is made a second time with the same number, and another node promotes with it."""
import asyncio
import os
import pathlib
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from drill import Caller, Deployment  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("regina", "saskatoon", "brandon", "winnipeg")
AWAY_S = 0.8  # "away for a moment"
DOWN_S = 0.8  # all processes are killed, and started again
GRACE_S = 6.0  # grace_s
KEY = "key-of-the-counter"
SERVICES = ("ledger-1", "ledger-2")
started = time.monotonic()
record_file = open(FOLDER / "record.txt", "w", encoding="utf-8")


def record(text):
    print(f"{time.monotonic() - started:7.2f} {text}", file=record_file, flush=True)


def config(version):
    return {"version": version,
            "routes": [{"name": service, "db_name": service, "type": "primary", "timeout_ms": 1000,
                        "target_latency_ms": 400, "priority": 1, "backend": service, "public": False}
                       for service in SERVICES],
            "services": [{"name": service, "max_conns": 32, "sync_replicas": 1} for service in SERVICES],
            "limits": {"txn_idle_ms": 5000},
            "tenants": [{"name": "counter", "api_keys": [KEY], "rate_per_s": 1000, "burst": 1000}]}


async def write(deployment, label):
    """Sends one write to each running node; returns how many were answered with success."""
    served = 0
    for node in deployment.nodes:
        if node.process.poll() is not None:
            continue
        caller = Caller()
        answer = await caller.connect(node, SERVICES[1], KEY)
        if answer == ["READY I -"]:
            answer = await caller.ask(f"{label}-{node.name}", f"WRITE {label} v")
        caller.close()
        served += answer[0].startswith("COMPLETE")
    record(f"{label}: {served} writes acknowledged")
    return served


async def until(condition, bound_s):
    deadline = time.monotonic() + bound_s
    while not condition() and time.monotonic() < deadline:
        await asyncio.sleep(0.02)
    return condition()


async def replace_primary(deployment, service):
    """The members of a service are replaced: its primary reports that it drains. Returns whether another one leads."""
    group = deployment.groups[service]
    old = group.primary()
    deployment.draining.add(old.id)
    record(f"planned: primary {old.id} is to be replaced and reports that it drains")
    await until(lambda: group.primary() not in (None, old), 8)
    record(f"primary of {service}: {group.primary() and group.primary().id}, term {group.term}")
    await asyncio.sleep(0.5)
    return group.primary() not in (None, old)


async def play(deployment):
    await deployment.start()
    await deployment.configure(config(4))
    for index, zone in enumerate(("regina", "regina", "saskatoon", "saskatoon", "brandon", "winnipeg")):
        deployment.add_node(f"front-{zone}-{index}", zone)
    if not await deployment.until_ready():
        record("the nodes are not ready")
        return 2
    await asyncio.sleep(3)
    await write(deployment, "calm")
    store = deployment.store
    holder = store.document("sycamorespan", "supervisor")["holder"]
    leader = next(node for node in deployment.nodes if node.name == holder)
    copied = store.snapshot()
    record(f"store: version {store.version}, the copy is taken; {holder} holds the duty")
    leader.process.terminate()
    record(f"planned: SIGTERM for {holder}")
    await until(lambda: store.document("sycamorespan", "supervisor")["holder"] != holder, 5)
    record(f"{store.document('sycamorespan', 'supervisor')['holder']} holds the duty")
    if not await replace_primary(deployment, SERVICES[0]):
        return 2
    if TROUBLE:
        record(f"store: away at version {store.version}")
        await store.go_away()
        await asyncio.sleep(AWAY_S)
        await store.come_back(copied)
        record(f"store: back from the copy, version {store.version}, Store-Era {store.era}")
    else:
        await asyncio.sleep(AWAY_S)
    await until(lambda: leader.process.poll() is not None, GRACE_S)
    leader.kill()  # as the platform does at the end of grace_s
    leader.start()
    record(f"planned: {holder} has stopped and starts again")
    await asyncio.sleep(6)
    await write(deployment, "after-the-planned-restart")
    await replace_primary(deployment, SERVICES[1])
    await write(deployment, "at-the-end")
    holders = {}
    for _, _, by, number in deployment.orders:
        holders.setdefault(number, set()).add(by)
    for number, names in sorted(holders.items()):
        record(f"Fencing-Token {number}: promotions ordered by {', '.join(sorted(names))}")
    if len(deployment.orders) < 2:
        record("there was no second promotion")
        return 2
    return 1 if any(len(names) > 1 for names in holders.values()) else 0


async def main():
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(SERVICES, ZONES, pathlib.Path(folder), record)
        try:
            return await asyncio.wait_for(play(deployment), 110)
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
