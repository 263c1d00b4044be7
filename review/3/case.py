"""A balancer counts its replica as up to date although changes don't reach it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standin  # noqa: E402

ROUTE = ("198.18.0.1", 8080)
DEPLOYMENTS = 8  # alike and apart, started one after the other
ZONES = "aaabbbcc"
HOST_ZONES = "aaaaabbbbbcccc"
IDLE_ROUTES = 110
DOWN_S = 0.2  # a killed process is started again after a short delay
FLOWS_PER_S = 5  # through each balancer


async def request(world, caller, balancer, name):
    flow = standin.Flow(caller, ROUTE, balancer)
    if await flow.open():
        await flow.request(f"GET /feed HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n", 3)
    flow.close()


async def traffic(world, stop):
    count = 0
    running = set()
    while not stop.is_set():
        for balancer in world.balancers:
            count += 1
            task = asyncio.create_task(
                request(world, world.callers[0], balancer, f"{world.net}-{count}"))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.sleep(1 / FLOWS_PER_S)
    await asyncio.gather(*running)


async def readers_of(world):
    """The balancers that read the store for their zones, in order."""
    states = [await balancer.state() for balancer in world.balancers]
    return [balancer for balancer, state in zip(world.balancers, states)
            if state and state["sharing"]["leader"] == "none"]


async def deployment_start(world):
    """Starts all machines at the same moment; true once they are in rotation."""
    routes = [{"name": "r1", "host": ROUTE[0], "prefix": f"/{ROUTE[1]}/",
               "service": "examen"}]
    routes += [{"name": f"i{i}", "host": "198.18.1.1", "prefix": f"/{10000 + i}/",
                "service": "examen"} for i in range(IDLE_ROUTES)]
    world.store.put("op/config", {"version": 7, "routes": routes,
                                  "services": [{"name": "examen"}],
                                  "limits": {"idleTimeoutMs": 15000}})
    await world.start(ZONES, [("examen", zone) for zone in HOST_ZONES], "a")
    return await world.until_ready()


async def deployment_play(world):
    """In one zone after the other, kills the store reader while a host drains."""
    calm = {b.address: world.record.now() for b in world.balancers}

    def on_open(host, packet, source):
        if host.drained_at is None:
            return
        now = world.record.now()
        late = now - host.drained_at
        if late > standin.DRAIN_S and now - calm[source] > standin.STABLE_WINDOW_S:
            world.record.broke(f"DRAIN: {host.id} got a new flow through "
                               f"{world.balancer_at(source).name} ({source}), "
                               f"{late:.2f} s after the ack")

    world.on_open = on_open
    readers = await readers_of(world)
    stop = asyncio.Event()
    tasks = [asyncio.create_task(traffic(world, stop))]
    await asyncio.sleep(standin.STABLE_WINDOW_S)
    for reader, host in zip(readers, world.hosts[::5]):
        if standin.has_trouble():
            reader.signal(standin.signal.SIGKILL)
            reader.process.wait()
            calm[reader.address] = world.record.now()
        host.drain()
        await asyncio.sleep(DOWN_S)
        if standin.has_trouble():
            reader.start(False)
            calm[reader.address] = world.record.now()
        await asyncio.sleep(standin.DRAIN_S + 2)
    stop.set()
    await asyncio.gather(*tasks)


async def case(world):
    worlds = [world]
    try:
        while True:
            if not await deployment_start(worlds[-1]):
                return False
            if len(worlds) == DEPLOYMENTS:
                break
            worlds.append(standin.World(world.record))
        await asyncio.gather(*(deployment_play(each) for each in worlds))
        world.lateness = max(each.lateness for each in worlds)
        return True
    finally:
        for each in worlds[1:]:
            for task in each.tasks:
                task.cancel()
            each.close()


standin.run(FOLDER, case)
