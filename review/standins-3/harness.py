"""Common parts of the cases: the users' platform in this process, the node program as separate processes, clients.

The platform, its store and its backend servers are the project's own stand-ins (standins/users_platform).
The node is started with the command of deploy/system.toml and the settings of a small deployment.
"""
import asyncio
import itertools
import logging
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

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_PID = os.getpid()
HOST = f"127.{1 + (_PID >> 16) % 200}.{(_PID >> 8) % 256}.{_PID % 254 + 1}"
os.environ["SYCAMORESPAN_TEST_HOST"] = HOST
sys.path.insert(0, str(ROOT / "standins" / "users_platform"))
from users_platform import Platform  # noqa: E402

logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # members that answer on a closed connection

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_APPLY_MS = 3000
STABLE_WINDOW_S = 4
MEMORY_MB = 260
HELD, BROKEN, NOT_RUN = 0, 1, 2
LINE_LIMIT = 1 << 22

_ports = itertools.cycle(range(10_000, 32_000))


def free_port():
    """Returns a port that nobody uses, each of them once."""
    while True:
        port = next(_ports)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue


def free_ports(count):
    """Returns the first of consecutive free ports."""
    while True:
        ports = [free_port() for _ in range(count)]
        if ports[-1] - ports[0] == count - 1:
            return ports[0]


class CannotRun(Exception):
    """The case can't be played here."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


def short(text, length=100):
    text = text.decode("latin-1") if isinstance(text, bytes) else text
    text = text.rstrip("\r\n")
    return text if len(text) <= length else f"{text[:length]}... ({len(text)} bytes)"


class Node:
    """One process of the node program."""

    def __init__(self, platform, name, zone, folder, memory_mb=MEMORY_MB):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.command = deploy["roles"]["node"]["run"].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is missing: run the build of deploy/system.toml first")
        self.name, self.memory_mb = name, memory_mb
        self.front, self.ready = free_port(), free_port()
        internal = free_ports(16)
        self.path = pathlib.Path(folder) / f"{name}.conf"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        zones = "".join(f"zones.{each}=prairie\n" for each in platform.data_centres)
        self.path.write_text(
            f"node_name={name}\nrole=node\nmachine_class=front\nserves=front\nip={HOST}\nzone={zone}\nregion=prairie\n"
            f"{zones}listen_addrs.front={HOST}:{self.front}\nlisten_addrs.ready={HOST}:{self.ready}\n"
            f"internal_ports={internal},{internal + 15}\nseeds=\nbootstrap=true\nloss_counted=false\n"
            f"limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds=4300\n"
            "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\n"
            "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n"
            "fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n"
            "bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stable_window_ms=4000\nbounds.ack_ms=5000\n"
            "bounds.catch_up_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n"
            f"bounds.config_apply_ms={CONFIG_APPLY_MS}\nbounds.back_ms=250\nbounds.max_stretch_ms=12000\n"
            "bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.quota_window_s=5\nbounds.quota_overage=0.1\n"
            "bounds.quota_slack=20\nbounds.recovery_s=12\nbounds.require_fence=false\nbounds.thaw_ms=300\n"
            f"platform.address={HOST}:{platform.store_port}\nplatform.form=table\nplatform.writes_per_s=400\n"
            "platform.reads_per_s=2000\nplatform.txn_latency_ms=5.0\nplatform.part_writes_s=200\n"
            "platform.row_bytes=65536\nplatform.across=false\nplatform.retention_s=20\nplatform.blob_bytes=8388608\n"
            "platform.blob_ms=25.0\nplatform.blob_mb_s=80.0\n"
            f"cloud_api.address={HOST}:{platform.promotion_port}\ncloud_api.rate_per_s=50.0\n"
            "cloud_api.duties=failover\ncloud_api.duty_per_s=50.0\n", encoding="utf-8")
        self.process = None

    def start(self):
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                env={"SYCAMORESPAN_CONFIG": str(self.path), "PATH": os.environ["PATH"], "LANG": "C"})

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{HOST}:{self.ready}/api/readiness", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def await_ready(self, bound_s=15):
        deadline = time.monotonic() + bound_s
        while not await asyncio.to_thread(self.is_ready):
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    def memory(self):
        """Returns the resident memory and its greatest value so far, in MiB; nothing after the end."""
        values = {}
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                for line in status:
                    if line.startswith(("VmRSS", "VmHWM")):
                        values[line.split(":")[0]] = int(line.split()[1]) / 1024
        except OSError:
            return None
        return (values["VmRSS"], values["VmHWM"]) if len(values) == 2 else None

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Client:
    """A session of a requester."""

    def __init__(self, record=None, name="client"):
        self.record, self.name, self.sent = record, name, 0

    def note(self, text):
        if self.record:
            self.record(f"{self.name}: {text}")

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=LINE_LIMIT)

    async def connect(self, port, database, key):
        await self.open(port)
        self.writer.write(f"CONNECT {database} {key}\r\n".encode("latin-1"))
        self.note(f"sent CONNECT {database} {short(key, 20)}")
        return await self.answer()

    async def answer(self, bound_s=10):
        """Returns the lines of an answer, up to READY or the end of the connection."""
        lines = []
        while True:
            line = await asyncio.wait_for(self.reader.readline(), bound_s)
            lines.append(line)
            if not line or line.startswith(b"READY") or (len(lines) == 1 and not self.sent and b"ERROR" in line):
                break
        self.note("answered " + " | ".join(short(each) or "(closed)" for each in lines[-4:]))
        return lines

    async def ask(self, text, request=None):
        self.sent += 1
        request = request or f"{self.name}{self.sent}"
        self.note(f"sent QUERY {request} {short(text)}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
        await self.writer.drain()
        return await self.answer()

    def close(self):
        self.writer.close()


def run(folder, play):
    """Plays a case and exits with its result. play(record, folder) returns HELD or BROKEN."""
    record = Record(folder)

    async def guarded():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)  # aborted connections of the stand-ins
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(play(record, pathlib.Path(temporary)), 110)

    try:
        result = asyncio.run(guarded())
    except Exception as failure:  # whatever keeps the case from running
        record(f"the case could not run: {type(failure).__name__}: {failure}")
        result = NOT_RUN
    record({HELD: "result: the rule held", BROKEN: "result: the rule was broken", NOT_RUN: "result: not run"}[result])
    sys.stdout.flush()
    os._exit(result)


__all__ = ["BROKEN", "CONFIG_APPLY_MS", "CannotRun", "Client", "HELD", "HOST", "MEMORY_MB", "Node", "Platform",
           "STABLE_WINDOW_S", "TROUBLE", "run", "short"]
