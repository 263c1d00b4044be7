"""A foreign entry in the store names a service that the configuration does not
have, at the address of a live host."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))

import standins  # noqa: E402

SERVICE = "huvo11a"
ROUTE = ("127.18.0.1", 8443)
HOSTS = 4
CALLERS = 12
TROUBLE_AT_S = 9
END_S = 32


async def caller_run(world, caller, end):
    """A flow for many requests, with pauses between them."""
    count = 0
    while time.monotonic() < end:
        flow = caller.flow(ROUTE)
        if await flow.open() != "open":
            await asyncio.sleep(0.2)
            continue
        for _ in range(12):
            for _ in range(random.randrange(4, 12)):
                count += 1
                name = f"{caller.address}-{count}"
                result = await flow.request(name)
                world.record.line(f"caller {name}: {result}")
                if result != "answered":
                    break
                await asyncio.sleep(0.05)
            if flow.state != "open" or time.monotonic() > end:
                break
            await asyncio.sleep(random.uniform(0.3, 2))
        flow.close()


async def case(record, trouble):
    world = standins.World(record, ["a"], balancers_per_zone=2)
    for _ in range(HOSTS):
        world.add_host(SERVICE, "a")
    for _ in range(CALLERS):
        world.add_caller("a")
    world.store.put("op/config", standins.configuration(
        7, [standins.route_entry(1, ROUTE[0], ROUTE[1], SERVICE)], [SERVICE]))
    try:
        await world.start()
        await world.wait_ready()
        end = time.monotonic() + END_S
        runs = [asyncio.create_task(caller_run(world, c, end))
                for c in world.callers]
        await asyncio.sleep(TROUBLE_AT_S)
        if trouble:
            host = world.hosts[0]
            entry = {"service": "node-metrics",
                     "address": f"{host.address}:{host.port}", "zone": "a",
                     "version": "v1", "slots": 1, "state": "ready",
                     "coldRemainingMs": 0, "sequence": 1,
                     "born": int(time.time() * 1000)}
            world.store.put("servers/i-0a11ce77", entry)
            record.line(f"another writer's entry names {host.id}'s address")
        await asyncio.gather(*runs)
        broken = [r for r in world.resets if r[2] and r[4] == "open" and r[3]]
        for at, flow, _, host, _ in broken:
            record.line(f"broken at {at:.3f}: {flow.key} was open at {host.id}")
        return not broken
    finally:
        await world.stop()


sys.exit(standins.main(case, FOLDER))
