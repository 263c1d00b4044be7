"""The operator empties a zone and takes it back. The store loses the end of
that, comes back from a copy, and the operator empties the zone again. Checks
that no opening packet reaches a host of the zone later than evacuateMs."""

import asyncio
import os
import random
import sys
import time

DIRECTORY = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(DIRECTORY, "..", "harness-3"))

import world  # noqa: E402

# Bounds of the site.
STABLE_S, EVACUATE_S = 5.0, 5.0
ZONE = "bagmati-b"
KEY = f"op/evacuate/{ZONE}"
# As evacuate and config_storm of the site.
FIRST_S, STORM_S, STORM_GAP_S = 8.0, 4.0, 0.33
COPY_AGE_S, AWAY_S = 6.0, 1.0
# The store is stable again when it accepts the second request.
SECOND_AFTER_S, SECOND_S = 7.0, 15.0


class Case(world.World):
    def on_connect(self, flow):
        self.sent[(flow.client.address, flow.port)] = time.monotonic()

    def on_opening(self, host, packet, sender):
        if self.acknowledged is None or host.zone != ZONE:
            return
        balancer = self.balancer(sender)
        late = self.sent[(packet.source, packet.source_port)] - \
            self.acknowledged
        now = time.monotonic()
        in_touch = now - balancer.disturbed > STABLE_S and \
            now - self.core_disturbed > STABLE_S
        self.count("opened in the emptied zone")
        self.record(f"opening at {host.id} through {balancer.name}, sent "
                    f"{late:.3f} s after the ack, in touch {in_touch}")
        if late > EVACUATE_S and in_touch:
            self.violate(f"EVAC: {balancer.name} sent a flow to {host.id} in "
                         f"{ZONE} {late:.3f} s after the ack")

    async def user(self, client, service):
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
            await asyncio.sleep(random.uniform(0.1, 0.3))

    def empty(self):
        revision = self.store.put(KEY, {})
        self.record(f"operator: empties {ZONE}, revision {revision}")

    def take_back(self):
        self.store.delete(KEY)
        self.record(f"operator: takes {ZONE} back, revision "
                    f"{self.store.revision}")

    async def first_request(self):
        """Returns a copy of the store that holds the request only."""
        self.empty()
        await asyncio.sleep(FIRST_S - STORM_S)
        copy = self.store.snapshot()
        self.record(f"store: copy taken at revision {self.store.revision}")
        end = time.monotonic() + STORM_S
        while time.monotonic() < end:
            self.timeout_ms += 10
            self.configure()
            await asyncio.sleep(STORM_GAP_S)
        self.take_back()
        await asyncio.sleep(COPY_AGE_S - STORM_S)
        return copy

    async def drill(self, copy):
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
        if self.is_troubled:
            self.take_back()
        for host in self.hosts:
            host.announce()
        if self.is_troubled:
            self.core_disturbed = time.monotonic()

    async def play(self):
        self.sent, self.acknowledged = {}, None
        await self.start(clients_per_zone=3)
        for client in self.clients:
            for service in self.services:
                self.tasks.append(asyncio.ensure_future(
                    self.user(client, service)))
        await asyncio.sleep(3)
        await self.drill(await self.first_request())
        await asyncio.sleep(SECOND_AFTER_S)
        self.empty()
        self.acknowledged = time.monotonic()
        await asyncio.sleep(SECOND_S)
        self.acknowledged = None
        self.take_back()


if __name__ == "__main__":
    sys.exit(world.run(Case(
        DIRECTORY, {"bagmati-a": 2, "bagmati-b": 2, "bagmati-c": 2,
                    "bagmati-d": 2},
        {"matchhall": (3, 3, 3, 3), "replayvault": (1, 1, 1, 1)})))
