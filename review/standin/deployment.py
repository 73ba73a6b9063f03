"""A small deployment on loopback for the scripts of the review: node processes of the project, started with the
command of deploy/system.toml, before the project's own stand-ins of the users' platform.

The stand-ins (store, promotion service, members) run inside the script's process. Every address is a loopback
address, every port is free at the start, and settings and logs are in a temporary folder.
"""
import asyncio
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = f"127.{1 + (os.getpid() >> 16) % 200}.{(os.getpid() >> 8) % 256}.{1 + os.getpid() % 250}"
os.environ["SYCAMORESPAN_TEST_HOST"] = HOST
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "standins" / "users_platform"))
from users_platform import Platform  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
KEY = "key-of-the-shop"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6
STABLE_WINDOW_S = 4
ROUTE_TIMEOUT_MS = {"sales": 1000, "browse": 3000, "recall": 1000}


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, what, at=None):
        self.file.write(f"{self.now() if at is None else at - self.started:9.4f} {what}\n")

    def close(self):
        self.file.close()


class Node:
    """One process of the role "node". The platform's side of its life: start, SIGTERM, SIGKILL, restart."""

    def __init__(self, platform, name, zone, folder, record):
        self.name, self.record = name, record
        front, ready, first = free_ports(3)
        control, = free_ports(1)
        self.front, self.ready = front, ready
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.settings.write_text("\n".join([
            f"node_name={name}", "role=node", "machine_class=front", "serves=front", f"ip={HOST}", f"zone={zone}",
            "region=prairie", *(f"zones.{each}=prairie" for each in platform.data_centres),
            f"listen_addrs.front={HOST}:{front}", f"listen_addrs.ready={HOST}:{ready}",
            f"listen_addrs.control={HOST}:{control}", f"internal_ports={first},{first + 1}",
            f"seeds={HOST}:{control}", "bootstrap=true", "loss_counted=false", "limits.cpu_share=0.25",
            "limits.cores=1", "limits.memory_mb=260", "limits.max_fds=4300", "limits.link_mbps=1000.0",
            "limits.disk_mb=0", "discovery=platform", "entry=virtual_ip", "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform",
            "fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
            "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.stable_window_ms=4000", "bounds.ack_ms=5000",
            "bounds.catch_up_s=4", "bounds.drain_ms=7000", f"bounds.grace_s={GRACE_S}",
            "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.back_ms=250",
            "bounds.max_stretch_ms=12000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000",
            "bounds.quota_window_s=5", "bounds.quota_overage=0.1", "bounds.quota_slack=20", "bounds.recovery_s=12",
            "bounds.require_fence=false", "bounds.thaw_ms=300",
            f"platform.address={HOST}:{platform.store_port}", "platform.form=table", "platform.writes_per_s=400",
            "platform.reads_per_s=2000", "platform.txn_latency_ms=5.0", "platform.part_writes_s=200",
            "platform.row_bytes=65536", "platform.across=false", "platform.retention_s=20",
            "platform.blob_bytes=8388608", "platform.blob_ms=25.0", "platform.blob_mb_s=80.0",
            f"cloud_api.address={HOST}:{platform.promotion_port}", "cloud_api.rate_per_s=50.0",
            "cloud_api.duties=failover", "cloud_api.duty_per_s=50.0", ""]), encoding="utf-8")
        self.process = None
        self.start()

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["node"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SYCAMORESPAN_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.write(f"platform: {self.name} started")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.write(f"platform: {signal.Signals(number).name} to {self.name}")

    def is_ready(self):
        try:
            url = f"http://{HOST}:{self.ready}/api/readiness"
            return urllib.request.urlopen(url, timeout=1).status == 200
        except OSError:
            return False

    def has_ended(self):
        return self.process.poll() is not None

    def kill(self):
        if not self.has_ended():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Session:
    """One requester's connection. It sends a request only after the answer to the one before."""

    numbers = itertools.count(1)

    def __init__(self, record):
        self.record, self.number, self.requests = record, next(Session.numbers), 0

    async def open(self, node, route, key=KEY, limit=2 ** 21):
        self.reader, self.writer = await asyncio.open_connection(HOST, node.front, limit=limit)
        return await self.exchange(f"CONNECT {route} {key}")

    async def ask(self, text):
        """Returns id, lines of the answer and the times of sending and of the end. The answer is complete if
        its last line is a READY."""
        self.requests += 1
        request = f"s{self.number}q{self.requests}"
        sent = time.monotonic()
        lines = await self.exchange(f"QUERY {request} {text}")
        return request, lines, sent, time.monotonic()

    async def exchange(self, line):
        self.record.write(f"session {self.number} sends: {line}")
        lines = []
        try:
            self.writer.write(line.encode() + b"\r\n")
            while not lines or not lines[-1].startswith("READY"):
                received = await self.reader.readline()
                if not received.endswith(b"\r\n"):
                    lines.append("")
                    break
                lines.append(received.decode().rstrip("\r\n"))
        except OSError:
            lines.append("")
        shown = " | ".join(each[:60] for each in lines[:4])
        self.record.write(f"session {self.number} is answered: {shown or 'connection ended'}"
                          + ("" if lines[-1] else " (connection ended without a complete answer)"))
        return lines

    def close(self):
        self.writer.transport.abort()


def is_complete(lines):
    return bool(lines) and lines[-1].startswith("READY")


class Deployment:
    """Platform, members and nodes of one script."""

    def __init__(self, folder, databases, zones=("regina", "saskatoon", "brandon")):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.platform = Platform(list(databases), data_centres=zones)
        self.databases, self.zones, self.nodes = list(databases), zones, []

    async def start(self, count, keys=(KEY,)):
        await self.platform.start()
        first = self.databases[0]
        await self.platform.configure(
            {"sales": (first, "primary", 0), "browse": (first, "bounded_stale", 1500),
             "recall": (first, "read_own", 2500),
             **{f"sales-{name}": (name, "primary", 0) for name in self.databases}},
            {"shop": (list(keys), 5000, 5000)})
        for route in self.platform.configuration["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_MS.get(route["name"], 1000)
        self.platform.version += 1
        self.platform.configuration["version"] = self.platform.version
        await self.platform.store.put("op", "config", self.platform.configuration)
        self.nodes = [Node(self.platform, f"front-{self.zones[index % len(self.zones)]}-{index + 1}",
                           self.zones[index % len(self.zones)], pathlib.Path(self.temporary.name), self.record)
                      for index in range(count)]
        for node in self.nodes:
            await self.until(lambda node=node: node.is_ready(), 20, f"{node.name} is ready")

    async def until(self, condition, bound_s, what):
        deadline = time.monotonic() + bound_s
        while not await asyncio.to_thread(condition):
            if time.monotonic() > deadline:
                raise TimeoutError(f"not within {bound_s} s: {what}")
            await asyncio.sleep(0.05)
        self.record.write(f"seen: {what}")

    def members(self, database=None):
        return list(self.platform.groups[database or self.databases[0]].members.values())

    def write_runs(self):
        """Appends to the record what the members ran."""
        for name in self.databases:
            for member in self.members(name):
                for (workspace, request, text), at in zip(member.ran, member.ran_at):
                    self.record.write(f"member {member.id} runs {request} for {workspace}: {text[:60]}", at)

    def stop(self):
        for node in self.nodes:
            node.kill()
        if hasattr(self.platform, "heartbeat"):
            self.platform.heartbeat.cancel()
        self.write_runs()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                pathlib.Path(keep, node.log.name).write_bytes(node.log.read_bytes())
        self.temporary.cleanup()


def run_case(script, case, databases=("db1",)):
    """Runs the coroutine case(deployment), which returns whether the rule held, and exits with its result."""
    folder = pathlib.Path(script).resolve().parent
    deployment = Deployment(folder, databases)

    async def limited():
        try:
            return await asyncio.wait_for(case(deployment), 110)
        finally:
            deployment.stop()

    result = CANNOT_RUN
    try:
        result = HELD if asyncio.run(limited()) else BROKEN
    except Exception as failure:  # the case could not run
        deployment.record.write(f"the case could not run: {failure!r}")
        print(f"could not run: {failure!r}")
    words = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}
    deployment.record.write(f"result: {words[result]}")
    deployment.record.close()
    print(words[result] + ("" if TROUBLE else " (TROUBLE=0)"))
    sys.stdout.flush()
    os._exit(result)
