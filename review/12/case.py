"""The store comes back from a copy that is 5 s old, and seconds later a host
drains. Checks that no flow is opened at that host later than drainMs."""

import asyncio
import os
import sys
import time

DIRECTORY = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(DIRECTORY, "..", "harness-3"))

import world  # noqa: E402

COPY_AGE_S = 5.0
AWAY_S = 1.0
# Small sites: a change each 0.33 s for 4 s.
STORM_S, STORM_GAP_S = 4.0, 0.33
# The store has been stable for longer than stableWindowMs when it accepts.
DRAIN_AFTER_S = 7.0
# The host serves on for drainMs and "many seconds", then exits.
SERVES_ON_S = 12.0


class Case(world.World):
    def on_connect(self, flow):
        self.sent[(flow.client.address, flow.port)] = time.monotonic()

    def on_opening(self, host, packet, sender):
        if host.drained_at is None:
            return
        balancer = self.balancer(sender)
        key = (packet.source, packet.source_port)
        sent = self.sent[key]
        late = sent - host.drained_at
        self.count("opened at draining host")
        self.record(f"opening at {host.id} through {balancer.name}, sent "
                    f"{late:.3f} s after the ack, in touch "
                    f"{self.in_touch(balancer)}")
        if late > world.DRAIN_S and self.in_touch(balancer):
            self.violate(f"DRAIN: host {host.id} took a flow through "
                         f"{balancer.name} that was sent {late:.3f} s after "
                         "the ack of its draining")

    async def user(self, client, service):
        """A flow for a few requests, then the next one."""
        while not self.is_ending:
            flow = await client.connect(self.vips[service], 443)
            if not flow:
                self.count("flow not opened")
                await asyncio.sleep(0.2)
                continue
            for _ in range(3):
                _, answer = await client.ask(flow, "POST", 5.0)
                self.count("answered" if answer else "not answered")
                if not answer or flow.is_host_closing:
                    break
                await asyncio.sleep(0.1)
            flow.close()
            await asyncio.sleep(0.1)

    async def trouble(self):
        copy = self.store.snapshot()
        self.record(f"store: copy taken at revision {self.store.revision}")
        end = time.monotonic() + STORM_S
        while time.monotonic() < end:
            self.timeout_ms += 10
            self.configure()
            await asyncio.sleep(STORM_GAP_S)
        await asyncio.sleep(COPY_AGE_S - STORM_S)
        if self.is_troubled:
            self.core_disturbed = time.monotonic()
            self.record(f"store: away at revision {self.store.revision}")
            self.store.go_away()
            await asyncio.sleep(AWAY_S)
            self.store.restore(copy)
            await self.store.start()
            self.record(f"store: back at revision {self.store.revision}, "
                        f"era {self.store.era}")
        # What the operator and the hosts wrote is written again.
        self.publish_configuration()
        for host in self.hosts:
            host.announce()
        self.core_disturbed = time.monotonic() if self.is_troubled \
            else self.core_disturbed
        self.record(f"store: all is written, revision {self.store.revision}")

    async def play(self):
        self.sent = {}
        await self.start(clients_per_zone=4)
        for client in self.clients:
            for service in self.services:
                self.tasks.append(asyncio.ensure_future(
                    self.user(client, service)))
        await asyncio.sleep(6)
        await self.trouble()
        await asyncio.sleep(DRAIN_AFTER_S)
        host = self.hosts[0]
        host.drain()
        await asyncio.sleep(world.DRAIN_S + SERVES_ON_S)
        host.leave()
        await asyncio.sleep(4)


if __name__ == "__main__":
    sys.exit(world.run(Case(
        DIRECTORY, {"ain": 3, "sidi": 3, "bouskoura": 2},
        {"examen": (5, 5, 4), "archive": (2, 1, 1)})))
