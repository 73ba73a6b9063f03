"""Starts programs for the process tests and sends requests to them.

Each program is ended by its own process ID.
"""

import http.client
import json
import signal
import socket
import subprocess
import time

TIMEOUT_SECONDS = 5
BACKEND_PASSWORD = "the-backend-password"


def free_port():
    """Returns a port on which nothing listens at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition, timeout=TIMEOUT_SECONDS):
    """Calls condition() until it is true; returns the seconds until then."""
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout:
            raise AssertionError(f"the condition was not met within {timeout} s")
        time.sleep(0.02)
    return time.monotonic() - start


def request(port, method, path, body=None, timeout=TIMEOUT_SECONDS):
    """Sends one HTTP request; returns status and body of the answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body)
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


class Platform:
    """Running standin-platform."""

    def __init__(self, build):
        self.process = subprocess.Popen(
            [f"{build}/standins/platform/standin-platform", "--listen", "127.0.0.1:0"],
            stdout=subprocess.PIPE, text=True)
        self.port = int(self.process.stdout.readline().rsplit(":", 1)[1])

    def request(self, method, path, body=None, timeout=TIMEOUT_SECONDS):
        return request(self.port, method, path, body, timeout)

    def request_json(self, method, path, body=None):
        status, answer = self.request(method, path, body)
        return status, json.loads(answer)

    def transaction(self, success, compare=(), failure=()):
        status, answer = self.request_json("POST", "/v1/transactions", {
            "compare": list(compare), "success": list(success), "failure": list(failure)})
        assert status == 200, answer
        return answer

    def set_faults(self, **changes):
        """Switches simulated faults of the platform on or off."""
        status, _ = self.request_json("PUT", "/v1/faults", changes)
        assert status == 200

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        self.process.stdout.close()
        return self.process.wait(TIMEOUT_SECONDS)


class Agent:
    """Running sycamorespan-agent."""

    def __init__(self, build, folder, name, data_centre, platform, peers=(), port=None):
        self.name = name
        self.port = port or free_port()
        self.admin = free_port()
        settings = f"{folder}/{name}.yaml"
        self.log_path = f"{folder}/{name}.log"
        with open(settings, "w", encoding="utf-8") as file:
            json.dump({
                "instance": name, "data_centre": data_centre,
                "listen": f"127.0.0.1:{self.port}", "admin": f"127.0.0.1:{self.admin}",
                "platform": platform, "backend_password": BACKEND_PASSWORD,
                "peers": [f"127.0.0.1:{peer}" for peer in peers],
                "timing": {"configuration_poll_ms": 200}}, file)
        with open(self.log_path, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [f"{build}/programs/agent/sycamorespan-agent", "--settings", settings], stderr=log)
        wait_until(self.is_healthy)

    def is_healthy(self):
        assert self.process.poll() is None, self.log()
        try:
            return request(self.admin, "GET", "/healthz")[0] == 200
        except OSError:
            return False

    def state(self):
        status, body = request(self.admin, "GET", "/state")
        assert status == 200, body
        return json.loads(body)

    def metric(self, name):
        """Returns the value of a metric without labels."""
        lines = request(self.admin, "GET", "/metrics")[1].decode().splitlines()
        return next(float(line.split()[1]) for line in lines if line.startswith(name + " "))

    def log(self):
        with open(self.log_path, encoding="utf-8") as file:
            return file.read()

    def stop(self):
        """Shuts the agent down gracefully; returns its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_SECONDS)


class Relay:
    """Running standin-relay that forwards connections to a target port."""

    def __init__(self, build, target):
        self.process = subprocess.Popen(
            [f"{build}/standins/relay/standin-relay", "--target", f"127.0.0.1:{target}"],
            stdout=subprocess.PIPE, text=True)
        self.port = int(self.process.stdout.readline().rsplit(":", 1)[1])
        self.control = int(self.process.stdout.readline().rsplit(":", 1)[1])

    def change(self, **changes):
        """Changes "mode", "delay_ms" or both."""
        status, body = request(self.control, "PUT", "/v1/mode", changes)
        assert status == 200, body

    def connections(self):
        """Returns the number of relayed connections."""
        return json.loads(request(self.control, "GET", "/v1/mode")[1])["connections"]

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        self.process.stdout.close()
        return self.process.wait(TIMEOUT_SECONDS)


class BackendServer:
    """Running standin-backend-server, which is one member of a group."""

    def __init__(self, build, name, port=None, primary=False, data=None):
        self.name = name
        self.port = port or free_port()
        arguments = [f"{build}/standins/backend_server/standin-backend-server", "--id", name,
                     "--listen", f"127.0.0.1:{self.port}", "--password", BACKEND_PASSWORD]
        arguments += ["--primary"] if primary else []
        arguments += ["--data", data] if data else []
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout.readline().startswith("ready")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()
