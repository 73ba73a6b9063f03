"""Node processes and their callers, for tests of the running program."""
import asyncio
import socket
import subprocess
import urllib.request

from loopback import HOST
from users_platform import node_settings


_ports = set()  # ports that free_port() has returned


def free_port():
    """Returns a free port, and each port only once: a node binds its ports later."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _ports:
            _ports.add(port)
            return port


def free_port_pair():
    """Returns a free port whose successor is free too, each of them only once."""
    while True:
        first = free_port()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, first + 1))
            except OSError:
                continue
        if first + 1 not in _ports:
            _ports.add(first + 1)
            return first


class Caller:
    """Client side of one caller's session."""

    async def connect(self, port, database, key):
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.requests = 0
        return await self.exchange(f"CONNECT {database} {key}")

    async def ask(self, text, name="r"):
        self.requests += 1
        return await self.exchange(f"QUERY {name}{self.requests} {text}")

    async def exchange(self, line):
        self.writer.write(line.encode() + b"\r\n")
        answer = []
        while True:
            line = await asyncio.wait_for(self.reader.readline(), 5)
            answer.append(line.decode().strip())
            if not line or line.startswith(b"READY"):
                return answer


# One node process with its settings file and log.
class Node:
    def __init__(self, program, platform, name, data_centre, folder, store_port=None, limits=None):
        self.program, self.name, self.folder = program, name, folder
        self.ports = [free_port(), free_port(), free_port_pair()]
        self.settings = folder / f"{name}.conf"
        text = node_settings(platform, name, data_centre, self.ports, store_port)
        text += "".join(f"limits.{key}={value}\n" for key, value in (limits or {}).items())
        self.settings.write_text(text, encoding="utf-8")
        self.log_path = folder / f"{name}.log"
        self.start()

    def start(self):
        self.log = open(self.log_path, "a", encoding="utf-8")
        self.process = subprocess.Popen([self.program, "--settings", self.settings], stdout=self.log,
                                        stderr=subprocess.STDOUT)

    def is_ready(self):
        try:
            url = f"http://{HOST}:{self.ports[1]}/api/readiness"
            return urllib.request.urlopen(url, timeout=1).status == 200
        except OSError:
            return False

    def lines(self):
        self.log.flush()
        return self.log_path.read_text(encoding="utf-8").splitlines()

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()
