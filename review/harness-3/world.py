"""A small deployment: store, hosts, balancers, routers and clients."""

import asyncio
import os
import random
import sys
import time

from clients import Client, Router
from fleet import BOUNDS, Fleet, Ports
from hosts import Host
from store import Store

BROKEN, HELD, NOT_RUN = 1, 0, 2
STABLE_S = BOUNDS["stableWindowMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000


class World:
    """Cases override the hooks that begin with on_."""

    def __init__(self, directory, zones, services):
        """@zones: name to balancers. @services: name to hosts of each zone."""
        self.started = time.monotonic()
        self.file = open(os.path.join(directory, "record.txt"), "w")
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.record(f"trouble {int(self.is_troubled)}")
        self.ports = Ports()
        self.store = Store(self.ports.address(8, 1), self.ports.store,
                           self.record)
        self.fleet = Fleet(zones, f"{self.store.address}:{self.store.port}",
                           self.ports)
        self.router = Router(self, self.fleet)
        self.hosts, self.clients, self.tasks = [], [], []
        self.services = services
        self.vips = {service: self.ports.address(200, 1 + index)
                     for index, service in enumerate(services)}
        self.version = 7
        self.timeout_ms = 5000
        self.next_host = 1
        self.violations = []
        self.counts = {}
        self.core_disturbed = -1e9
        self.is_ending = False

    def now(self):
        return time.monotonic() - self.started

    def record(self, line):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {line}\n")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def violate(self, line):
        self.violations.append(line)
        self.record(f"BROKEN {line}")

    # Hooks

    def on_connect(self, flow):
        pass

    def on_opening(self, host, packet, sender):
        pass

    def on_open(self, host, packet, flow):
        pass

    def on_foreign_packet(self, host, packet, sender):
        pass

    def on_run(self, host, request_id, method):
        self.record(f"run {request_id} by {host.id}")
        self.count("run")

    def on_reset(self, flow, packet, sender):
        pass

    def on_wrong_answer(self, request_id, answer):
        self.violate(f"wrong answer to {request_id}")

    # Deployment

    def balancer(self, address):
        return next((b for b in self.fleet.balancers
                     if b.address == address), None)

    def in_touch(self, balancer):
        now = time.monotonic()
        return balancer is not None and \
            now - balancer.disturbed > STABLE_S and \
            now - self.core_disturbed > STABLE_S

    def routes(self):
        return [{"name": f"r-{service}", "host": vip, "prefix": "/443/",
                 "routeType": "unsafe", "timeoutMs": self.timeout_ms,
                 "targetLatencyMs": 300, "priority": 1, "service": service,
                 "maxAttempts": 2} for service, vip in self.vips.items()]

    def configure(self):
        """Publishes a new version; returns its revision."""
        self.version += random.randrange(1, 4)
        return self.publish_configuration()

    def publish_configuration(self):
        revision = self.store.put("op/config", {
            "version": self.version, "routes": self.routes(),
            "services": [{"name": service, "healthPath": "/health",
                          "maxConns": 2000, "protocol": "h1", "tls": False}
                         for service in self.services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record(f"operator: version {self.version}, revision {revision}")
        return revision

    async def add_host(self, service, zone):
        number = self.next_host
        self.next_host += 1
        host = Host(self, f"i-{0x7f3a9000 + 37 * number:08x}", service, zone,
                    self.ports.address(5, number))
        await host.start()
        self.hosts.append(host)
        self.record(f"host {host.id}: started for {service} in {zone}")
        return host

    async def start(self, clients_per_zone):
        await self.store.start()
        self.configure()
        for service, per_zone in self.services.items():
            for zone, number in zip(self.fleet.zones, per_zone):
                for _ in range(number):
                    await self.add_host(service, zone)
        self.fleet.start()
        self.tasks += self.router.start()
        for index, zone in enumerate(self.fleet.zones):
            for number in range(clients_per_zone):
                client = Client(self, zone, self.ports.address(
                    9 + index, 1 + number))
                await client.start()
                self.clients.append(client)
        deadline = time.monotonic() + 15
        while not all(b.is_ready for b in self.fleet.balancers):
            if time.monotonic() > deadline:
                raise RuntimeError("balancers are not ready")
            await asyncio.sleep(0.1)

    def check_processes(self):
        for balancer in self.fleet.balancers:
            if balancer.process.poll() is not None:
                self.record(f"balancer {balancer.name} ended with "
                            f"{balancer.process.returncode}")

    async def play(self):
        raise NotImplementedError

    async def main(self):
        try:
            await self.play()
            self.check_processes()
        finally:
            self.is_ending = True
            # Connections that open during the end are of no interest.
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: None)
            for task in self.tasks:
                task.cancel()
            self.fleet.stop()


def run(world):
    """Returns the exit status of a case."""
    try:
        asyncio.run(asyncio.wait_for(world.main(), 110))
    except Exception as error:  # the case couldn't run
        world.record(f"not run: {error!r}")
        print(f"not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        world.record(f"counts {world.counts}")
        world.record(f"violations {len(world.violations)}")
        world.file.close()
    print(f"{len(world.violations)} violations; counts {world.counts}")
    for line in world.violations[:5]:
        print(line)
    return BROKEN if world.violations else HELD
