"""After the store has come back from an older copy, the next change of the config never takes effect at some nodes:
they keep running requests by the old service, and with a key that was taken away."""
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
OLD_COPY_S = 3.0  # "a copy some seconds old"
AWAY_S = 0.8  # "away for a moment"
CONFIG_APPLY_S = 3.0  # config_apply_ms
MAX_STRETCH_S = 12.0  # max_stretch_ms, granted in full although the store is stable again after 4 s
MARGIN_S = 2.0
KEPT, TAKEN = "key-that-stays", "key-that-is-taken-away"
started = time.monotonic()
record_file = open(FOLDER / "record.txt", "w", encoding="utf-8")


def record(text):
    print(f"{time.monotonic() - started:7.2f} {text}", file=record_file, flush=True)


def config(version, sales_service, keys):
    return {"version": version,
            "routes": [{"name": name, "db_name": name, "type": "primary", "timeout_ms": 1000,
                        "target_latency_ms": 200, "priority": 1, "backend": service, "public": False}
                       for name, service in (("sales", sales_service), ("other", "ledger-2"))],
            "services": [{"name": name, "max_conns": 32, "sync_replicas": 1} for name in ("ledger-1", "ledger-2")],
            "limits": {"txn_idle_ms": 5000},
            "tenants": [{"name": "counter", "api_keys": [KEPT], "rate_per_s": 1000, "burst": 1000},
                        {"name": "buyer", "api_keys": keys, "rate_per_s": 1000, "burst": 1000}]}


async def probe(deployment, node, request, key):
    """Sends one write on the route; returns whether it was accepted, and by which service."""
    caller = Caller()
    opened = await caller.connect(node, "sales", key)
    if opened != ["READY I -"]:
        caller.close()
        return " / ".join(opened), None
    answer = await caller.ask(request, f"WRITE item-{request} sold")
    caller.close()
    ran = next((group.name for group in deployment.groups.values() for member in group.members.values()
                if any(run[1] == request for run in member.ran)), None)
    return " / ".join(answer), ran


async def play(deployment):
    await deployment.start()
    await deployment.configure(config(4, "ledger-1", [TAKEN]))
    for index, zone in enumerate(("regina", "regina", "saskatoon", "saskatoon", "brandon", "winnipeg")):
        deployment.add_node(f"front-{zone}-{index}", zone)
    if not await deployment.until_ready():
        record("the nodes are not ready")
        return 2
    await asyncio.sleep(4)
    for node in deployment.nodes:
        for key in (KEPT, TAKEN):
            answer, ran = await probe(deployment, node, f"before-{node.name}-{key[4:8]}", key)
            if not answer.startswith("COMPLETE") or ran != "ledger-1":
                record(f"before the change: {node.name} {answer}")
                return 2
    store = deployment.store
    copied, version = store.snapshot(), store.version
    record(f"store: version {version}, the copy is taken")
    await asyncio.sleep(OLD_COPY_S)
    if TROUBLE:
        record(f"store: away at version {store.version}")
        await store.go_away()
        await asyncio.sleep(AWAY_S)
        await store.come_back(copied)
        record(f"store: back from the copy, version {store.version}, Store-Era {store.era}")
    else:
        await asyncio.sleep(AWAY_S)
    acked = await deployment.configure(config(9, "ledger-2", []))
    record(f"operator: config 9 is acknowledged as version {store.version}: route \"sales\" moves from ledger-1 to "
           f"ledger-2, key {TAKEN!r} is taken away")
    calls = store.calls
    await asyncio.sleep(5)
    record(f"store: {store.calls - calls} calls in 5 s after that, version {store.version}")
    await asyncio.sleep(max(0, acked + CONFIG_APPLY_S + MAX_STRETCH_S + MARGIN_S - time.monotonic()))
    broken = 0
    for node in deployment.nodes:
        for key in (KEPT, TAKEN):
            sent = time.monotonic() - acked
            answer, ran = await probe(deployment, node, f"after-{node.name}-{key[4:8]}", key)
            is_old = ran == "ledger-1" or (key == TAKEN and ran is not None) or (key == KEPT and ran is None)
            broken += is_old
            record(f"{sent:.1f} s after the ack: {node.name} key {key!r}: {answer}; run by {ran}"
                   + (" - handled as only the older version allows" if is_old else ""))
    record(f"{broken} of {2 * len(deployment.nodes)} requests handled as only the older version allows")
    return 1 if broken else 0


async def main():
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(["ledger-1", "ledger-2"], ZONES, pathlib.Path(folder), record)
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
