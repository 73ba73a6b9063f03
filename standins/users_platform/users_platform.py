"""Simulation of the users' platform in one process: store, promotion service and backend servers.

Tests and the demonstration import Platform and control it. They inject faults through its attributes.
"""

import asyncio
import base64
import collections
import json
import os
import time

from member import Group, Member
from store import Store, serve_http

HOST = os.environ.get("SYCAMORESPAN_TEST_HOST", "127.0.0.1")
PROMOTION_DURATION_S = 0.3


class Platform:
    def __init__(self, databases, members_each=3, data_centres=("a", "b", "c")):
        self.store = Store()
        self.store.other_writer = self.check_in
        self.check_ins = collections.Counter()  # by member
        self.groups = {name: Group(name) for name in databases}
        self.data_centres = data_centres
        self.draining = set()
        self.removed = set()  # ids of members that left the list, although their process still runs
        self.orders = []  # (time, supervisor, fencing token, database, member)
        self.version = 0
        self.configuration = None
        for name, group in self.groups.items():
            for index in range(members_each):
                Member(group, f"{name}-{index + 1}", "replica" if index else "primary")

    async def start(self):
        self.store_server = await serve_http(
            HOST, 0, lambda method, path, query, headers, body: self.store.answer(method, path, query, body))
        self.promotion_server = await serve_http(HOST, 0, self.handle_promotion)
        self.store_port = self.store_server.sockets[0].getsockname()[1]
        self.promotion_port = self.promotion_server.sockets[0].getsockname()[1]
        for group in self.groups.values():
            for member in group.members.values():
                await member.start(HOST)
        await self.register_all()
        self.heartbeat = asyncio.create_task(self.register_periodically())

    async def handle_promotion(self, method, path, query, headers, body):
        if (method, path) != ("POST", "/failover"):
            return 404, {}
        order = json.loads(body)
        group = self.groups.get(order.get("backend"))
        member = group and group.members.get(order.get("id"))
        if not member or not member.is_up:
            return 409, {"error": "not running"}
        self.orders.append((time.monotonic(), headers["lease-holder"], int(headers["fencing-token"]),
                            group.name, member.id))
        if member.role != "primary":
            asyncio.create_task(group.promote(member.id, PROMOTION_DURATION_S))
        return 200, {}

    # Registration.

    def entry(self, member, index):
        return {"backend": member.group.name, "address": f"{HOST}:{member.listed_port or member.port}",
                "zone": self.data_centres[index % len(self.data_centres)], "version": "v1",
                "capacity": 5, "state": "draining" if member.id in self.draining else "ready",
                "warmup_left_ms": 0, "db_role": member.role, "born": 1000 + index,
                "seq": self.check_ins[member.id]}

    async def check_in(self):
        """Writes the entry of one listed member, as members do now and then."""
        listed = [(index, member) for group in self.groups.values()
                  for index, member in enumerate(group.members.values()) if ("servers", member.id) in self.store.rows]
        if listed:
            index, member = self.store.random.choice(listed)
            self.check_ins[member.id] += 1
            await self.store.put("servers", member.id, self.entry(member, index))

    async def register_all(self):
        for group in self.groups.values():
            for index, member in enumerate(group.members.values()):
                entry = self.entry(member, index)
                known = self.store.rows.get(("servers", member.id))
                if not member.is_up or member.id in self.removed:
                    if known:
                        await self.store.drop("servers", member.id)
                    continue
                text = base64.b64encode(json.dumps(entry).encode()).decode()
                if not known or known[1] != text:
                    await self.store.put("servers", member.id, entry)

    async def register_periodically(self):
        while True:
            await asyncio.sleep(0.1)
            if not self.store.is_down:
                await self.register_all()

    # Configuration.

    async def configure(self, routes, workspaces, idle_ms=3000, connections=32):
        """Writes a new version of the configuration to the store.

        routes: name -> (database, type, max_staleness_ms); workspaces: name -> (keys, rate, burst);
        connections: accepted by each member.
        """
        self.version += 1
        self.configuration = {
            "version": self.version,
            "routes": [{"name": name, "db_name": name, "prefix": "/", "type": kind, "timeout_ms": 1500,
                        "target_latency_ms": 400, "priority": 1, "backend": database, "attempts": 2,
                        "public": False, **({"max_staleness_ms": stale} if stale else {})}
                       for name, (database, kind, stale) in routes.items()],
            "services": [{"name": name, "health_check": "/health", "max_conns": connections, "protocol": "h1",
                          "tls": False, "sync_replicas": 1} for name in self.groups],
            "limits": {"txn_idle_ms": idle_ms},
            "tenants": [{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": rate,
                         "burst": burst} for name, (keys, rate, burst) in workspaces.items()]}
        await self.store.put("op", "config", self.configuration)


def node_settings(platform, name, data_centre, ports, store_port=None):
    """Returns the text of a settings file. ports: for callers, for readiness and for peer reports."""
    return "\n".join([
        f"node_name={name}", f"ip={HOST}", f"zone={data_centre}",
        f"listen_addrs.front={HOST}:{ports[0]}", f"listen_addrs.ready={HOST}:{ports[1]}",
        f"internal_ports={ports[2]},{ports[2] + 1}",
        f"platform.address={HOST}:{store_port or platform.store_port}", "platform.reads_per_s=2000",
        "platform.writes_per_s=400", f"cloud_api.address={HOST}:{platform.promotion_port}",
        "bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.config_apply_ms=3000", "bounds.evacuate_ms=5000",
        "heartbeat_ms=1200", ""])
