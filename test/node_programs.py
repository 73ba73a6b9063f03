"""Node processes and their callers, for tests of the running program."""
import asyncio
import itertools
import socket
import subprocess
import urllib.request

from loopback import HOST
from users_platform import node_settings


# A node binds its ports later, so they are below those that the system gives to connections.
_ports = itertools.cycle(range(10_000, 32_000))


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def free_port():
    """Returns a free port, and another one each time."""
    return next(port for port in _ports if is_free(port))


def free_port_pair():
    """Returns a free port whose successor is free too, each of them only once."""
    first, second = free_port(), free_port()
    while second != first + 1:
        first, second = second, free_port()
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
