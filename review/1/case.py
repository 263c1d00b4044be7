"""Hosts at their connection limit: the open flows of a calm zone are reset."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standin  # noqa: E402

ROUTE = ("198.18.0.1", 8080)
USUAL = 2200  # long flows of the usual users; two hosts hold 2,000 each
BURST = 1.9  # times the usual users, for BURST_S
BURST_S = 3.0
USUAL_S = 5.0  # in which the usual flows are opened
SESSIONS = 6
NEWCOMERS = 24  # in a zone that sees no burst, about three a second


async def session(world, caller, stop):
    """A long flow with an unsafe request about each 2 s."""
    count = 0
    while not stop.is_set():
        flow = standin.Flow(caller, ROUTE)
        if not await flow.open():
            world.record.write(f"caller {caller.number}: flow not opened: {flow.state}")
            flow.close()
            await asyncio.sleep(1)
            continue
        while flow.state == "open" and not stop.is_set():
            count += 1
            name = f"c{caller.number}-{count}"
            response = await flow.request(
                f"POST /submit HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n", 4)
            if response is None:
                world.record.write(f"caller {caller.number}: {name} was not answered")
                break
            flow.host = response.split("X-Server-Stamp: ")[1].split("\r\n")[0]
            world.record.write(f"caller {caller.number}: {name} answered by {flow.host}")
            await asyncio.sleep(1.7 + 0.1 * caller.number)
        flow.close()


async def newcomer(world, caller, name):
    """One user with one request on a flow of its own, and two further tries."""
    for _ in range(3):
        flow = standin.Flow(caller, ROUTE)
        if await flow.open():
            response = await flow.request(
                f"GET /feed HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n", 3)
            world.record.write(f"newcomer {name}: {'answered' if response else flow.state}")
            flow.close()
            return
        world.record.write(f"newcomer {name}: flow not opened: {flow.state}")
        flow.close()


async def crowd(world, callers, count, seconds):
    """Opens long flows that then pause; far less than the idle timeout passes."""
    opened = []

    async def one(caller):
        for _ in range(3):
            flow = standin.Flow(caller, ROUTE)
            if await flow.open():
                opened.append(flow)
                return

    begin = world.record.now()
    tasks = []
    for i in range(count):
        await asyncio.sleep(max(0, begin + i * seconds / count - world.record.now()))
        tasks.append(asyncio.create_task(one(callers[i % len(callers)])))
    await asyncio.gather(*tasks)
    world.record.write(f"{len(opened)} of {count} users have a flow; flows of the hosts: "
                       + " ".join(str(len(host.flows)) for host in world.hosts))


async def case(world):
    def on_reset(flow, packet, source):
        if packet.sum != 0:
            return
        host = world.holder(flow)
        if flow.state == "open" and host:
            world.record.broke(f"FLOW: open flow {flow.caller.number}:{flow.port} to the "
                               f"live host {host.id} reset by {source}")

    world.on_reset = on_reset
    world.store.put("op/config", {
        "version": 7, "services": [{"name": "examen", "maxConns": 2000}],
        "routes": [{"name": "r1", "host": ROUTE[0], "prefix": f"/{ROUTE[1]}/",
                    "service": "examen"}],
        "limits": {"idleTimeoutMs": 20000}})
    await world.start(["a", "a", "b", "b", "c", "c"],
                      [("examen", "a"), ("examen", "b")],
                      ["c"] * SESSIONS + ["a", "b"] * 4 + ["c"] * 4)
    if not await world.until_ready():
        return False
    stop = asyncio.Event()
    users = world.callers[SESSIONS:SESSIONS + 8]
    tasks = [asyncio.create_task(session(world, caller, stop))
             for caller in world.callers[:SESSIONS]]
    await crowd(world, users, USUAL, USUAL_S)
    await asyncio.sleep(standin.STABLE_WINDOW_S)
    if standin.has_trouble():
        world.record.write("many users come at once")
        tasks.append(asyncio.create_task(
            crowd(world, users, int(USUAL * (BURST - 1)), BURST_S)))
    for count in range(NEWCOMERS):
        caller = world.callers[SESSIONS + 8 + count % 4]
        tasks.append(asyncio.create_task(newcomer(world, caller, f"n{count}")))
        await asyncio.sleep(0.33)
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*tasks)
    world.record.write("opening packets that full hosts ignored: "
                       + " ".join(str(host.refused) for host in world.hosts))
    world.record.write(f"{len(world.record.broken)} open flows were reset by the system")
    return True


standin.run(FOLDER, case)
