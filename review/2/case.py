"""A configuration is lost to a zone whose store reader dies while passing it on."""

import asyncio
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standin  # noqa: E402

ADDRESS = "198.18.0.1"
DEPLOYMENTS = 4  # alike and apart
ZONES = "aaabbbcc"
HOST_ZONES = "aaaaabbbbbcccc"
ROUTES = 1500  # 110 idle ones, and what four big_config add
TURNS = 3  # changes of the configuration
TOLD_MAX_S = 0.4  # the reader dies at the latest so long after the change
BUSY_SWITCHES = 15  # context switches in BUSY_S show that a follower gets the routes
BUSY_S = 0.004
DOWN_S = 3.0  # without power
WATCHED_S = 8.0
FLOWS_PER_S = 3  # through each balancer


def configuration(version, added_port):
    """All routes are split, with weights of this version; one route is added."""
    routes = [{"name": f"r{port}", "host": ADDRESS, "prefix": f"/{port}/",
               "split": [{"service": "examen", "weight": 100},
                         {"service": "archive", "weight": version % 2}]}
              for port in range(8000, 8000 + ROUTES)]
    routes.append({"name": f"r{added_port}", "host": ADDRESS,
                   "prefix": f"/{added_port}/", "service": "examen"})
    return {"version": version, "routes": routes,
            "services": [{"name": "examen"}, {"name": "archive"}],
            "limits": {"idleTimeoutMs": 15000}}


async def request(world, balancer, port, name):
    flow = standin.Flow(world.callers[0], (ADDRESS, port), balancer)
    flow.sent_at = world.record.now()
    if await flow.open():
        await flow.request(f"GET /feed HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n", 3)
    flow.close()


async def readers_of(world):
    """The balancers that read the store for their zones, in order."""
    states = [await balancer.state() for balancer in world.balancers]
    return [balancer for balancer, state in zip(world.balancers, states)
            if state and state["sharing"]["leader"] == "none"]


def switches(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file
                    if line.startswith("voluntary_ctxt_switches"))


def kill_while_passing_on(reader, followers, result):
    """Kills the reader as soon as a follower is busy receiving, or at the latest."""
    end = time.monotonic() + TOLD_MAX_S
    seen = [[(time.monotonic(), switches(f.process))] for f in followers]
    while time.monotonic() < end:
        now = time.monotonic()
        for follower, counts in zip(followers, seen):
            counts.append((now, switches(follower.process)))
            while now - counts[0][0] > BUSY_S:
                counts.pop(0)
            if counts[-1][1] - counts[0][1] >= BUSY_SWITCHES:
                end = 0
        time.sleep(0.0002)
    os.kill(reader.process.pid, standin.signal.SIGKILL)
    result.append(end == 0)


async def change(world, version, port, reader):
    """Publishes a configuration, and kills its reader while it passes it on."""
    followers = [b for b in world.balancers if b.zone == reader.zone and b is not reader]
    result = []
    thread = threading.Thread(target=kill_while_passing_on,
                              args=(reader, followers, result))
    if standin.has_trouble():
        reader.should_run = False
        thread.start()
    world.store.put("op/config", configuration(version, port))
    acked = world.record.now()
    world.record.write(f"deployment {world.net}: configuration {version} acknowledged")
    if standin.has_trouble():
        await asyncio.get_running_loop().run_in_executor(None, thread.join)
        reader.process.wait()
        world.record.write(f"balancer {reader.name} {reader.address}: killed, "
                           f"{'while' if result[0] else 'not while'} it passed it on")
    return acked


async def deployment_play(world, number):
    calm = {b.address: world.record.now() for b in world.balancers}
    state = {"port": 0, "acked": 0.0}

    def on_reset(flow, packet, source):
        late = flow.sent_at - state["acked"]
        if packet.sum == 0 and flow.route[1] == state["port"] \
                and late > standin.CONFIG_APPLY_S \
                and flow.sent_at - calm[source] > standin.STABLE_WINDOW_S:
            world.record.broke(f"CONFIG: {world.balancer_at(source).name} ({source}) refuses "
                               f"a route that was added, {late:.2f} s after the ack")

    world.on_reset = on_reset
    await asyncio.sleep(standin.STABLE_WINDOW_S + 1 + 2 * number)
    for turn in range(TURNS):
        readers = await readers_of(world)
        if not readers:
            continue
        reader = readers[(number + turn) % len(readers)]
        state["port"] = 10000 + turn
        state["acked"] = await change(world, 10 + 5 * turn, state["port"], reader)
        end = state["acked"] + WATCHED_S
        back = state["acked"] + DOWN_S if standin.has_trouble() else end + 1
        running = []
        await asyncio.sleep(standin.CONFIG_APPLY_S - 1)
        while world.record.now() < end:
            if world.record.now() >= back:
                back = end + 1
                reader.start(False)
                calm[reader.address] = world.record.now()
            for balancer in world.balancers:
                if balancer.should_run:
                    running.append(asyncio.create_task(request(
                        world, balancer, state["port"], f"{world.net}-{len(running)}")))
            await asyncio.sleep(1 / FLOWS_PER_S)
        await asyncio.gather(*running)


async def case(world):
    worlds = [world]
    try:
        while True:
            each = worlds[-1]
            each.store.put("op/config", configuration(7, 9999))
            await each.start(ZONES, [("examen", zone) for zone in HOST_ZONES], "a")
            if not await each.until_ready():
                return False
            if len(worlds) == DEPLOYMENTS:
                break
            worlds.append(standin.World(world.record))
        # Shifted in time, so that they don't keep each other from running.
        await asyncio.gather(*(deployment_play(each, i) for i, each in enumerate(worlds)))
        world.lateness = max(each.lateness for each in worlds)
        return True
    finally:
        for each in worlds[1:]:
            for task in each.tasks:
                task.cancel()
            each.close()


standin.run(FOLDER, case)
