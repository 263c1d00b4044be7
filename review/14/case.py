"""Some hosts are cut off for seconds. When they are reachable again, they are
emptied as planned. Checks that no balancer resets a flow that was open all the
time, once the cut has been over for longer than stableWindowMs."""

import asyncio
import math
import os
import random
import sys
import time

DIRECTORY = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(DIRECTORY, "..", "harness-3"))

import world  # noqa: E402

# At most what node_cut of the grown site has: 0.17 for 5.5 s.
CUT_SHARE, CUT_S = 0.17, 4.2
# The operator empties the hosts as soon as they are reachable.
DRAIN_AFTER_S = 0.3
# Quiet clients ask once before the cut, and again after this pause, which is
# below idleTimeoutMs (15 s).
QUIET_FIRST_S, QUIET_PAUSE_S = 3.5, 14.2
QUIET_SPREAD_S = 0.1
CUT_AT_S = 8.0
# Flows of each client.
BUSY_FLOWS, QUIET_FLOWS = 14, 6
# Bounds of the grown sites.
STABLE_S = 5.0
# Work of order-line, ms: mean, spread and largest.
WORK_MEAN_MS, WORK_SPREAD, WORK_MAX_MS = 72, 0.5, 430


def work_s():
    sigma = math.sqrt(math.log(1 + WORK_SPREAD ** 2))
    mean = math.log(WORK_MEAN_MS) - sigma * sigma / 2
    return min(random.lognormvariate(mean, sigma), WORK_MAX_MS) / 1000


class Case(world.World):
    def on_open(self, host, packet, flow):
        self.flow_hosts[(packet.source, packet.source_port)] = host

    def on_reset(self, flow, packet, sender):
        """A reset has the sum 0 if it is the system's own."""
        host = self.flow_hosts.get((flow.client.address, flow.port))
        if packet.sum != 0 or not host or not flow.is_open:
            return
        balancer = self.balancer(sender)
        calm_s = time.monotonic() - self.disturbed.get(host, -1e9)
        holds = any(key[:2] == (flow.client.address, flow.port)
                    for key in host.flows)
        self.record(f"reset by {balancer.name} of port {flow.port} at host "
                    f"{host.id}, which lives {host.is_alive}, holds the flow "
                    f"{holds}, is undisturbed for {max(min(calm_s, 999), 0):.3f} s")
        self.count("resets by balancers")
        if host.is_alive and holds and calm_s > STABLE_S and \
                self.in_touch(balancer) and self.in_touch(flow.balancer):
            self.violate(f"FLOW: {balancer.name} reset a flow of {host.id}, "
                         f"which has been undisturbed for {calm_s:.3f} s")

    async def ask_once(self, client, flow):
        _, answer = await client.ask(flow, "POST", 5.0)
        self.count("answered" if answer else "not answered")
        return answer

    async def busy(self, client):
        """Keeps a flow for all requests."""
        flow = None
        await asyncio.sleep(random.uniform(0, 2))
        while not self.is_ending:
            if not flow or flow.is_ended or flow.is_host_closing:
                if flow:
                    flow.close()
                flow = await client.connect(self.vips["duka"], 443)
            if flow and not await self.ask_once(client, flow):
                flow.close()
            await asyncio.sleep(random.uniform(1.5, 3.0))

    async def quiet(self, client, first):
        await asyncio.sleep(random.uniform(0, 2))
        flow = await client.connect(self.vips["duka"], 443)
        if not flow:
            return
        for at in (first, first + QUIET_PAUSE_S):
            await asyncio.sleep(max(0, at + random.uniform(0, QUIET_SPREAD_S)
                                    - time.monotonic()))
            if flow.is_ended or not await self.ask_once(client, flow):
                break
        flow.close()

    async def play(self):
        self.flow_hosts, self.disturbed = {}, {}
        await self.start(clients_per_zone=40)
        for host in self.hosts:
            host.work, host.slots, host.queue = work_s, 2, 8
        now = time.monotonic()
        for client in self.clients:
            for _ in range(BUSY_FLOWS):
                self.tasks.append(asyncio.ensure_future(self.busy(client)))
            for _ in range(QUIET_FLOWS):
                self.tasks.append(asyncio.ensure_future(
                    self.quiet(client, now + QUIET_FIRST_S)))
        await asyncio.sleep(CUT_AT_S)
        duka = [host for host in self.hosts if host.service == "duka"]
        cut = random.sample(duka, round(CUT_SHARE * len(self.hosts)))
        if self.is_troubled:
            for host in cut:
                self.disturbed[host] = math.inf
                await host.cut_off()
            await asyncio.sleep(CUT_S)
            for host in cut:
                host.rejoin()
                self.disturbed[host] = time.monotonic()
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(DRAIN_AFTER_S)
        for host in cut:
            host.drain()
        await asyncio.sleep(9)
        for host in cut:
            host.leave()
        await asyncio.sleep(1)


if __name__ == "__main__":
    sys.exit(world.run(Case(
        DIRECTORY, {"kariakoo": 20},
        {"duka": (30,), "orodha": (8,)})))
