"""Another writer's entry under servers/ is as large as the store allows, and
its value is JSON that names no host. The machines are those with 99 MB."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))

import standins  # noqa: E402

SERVICE = "huvo11a"
ROUTE = ("127.18.0.1", 8443)
MEMORY_MB = 99
RESTART_DELAY_S = 1.0
MAX_VALUE_BYTES = 1048576
TROUBLE_AT_S = 6
END_S = 30
KILLS = 3


def foreign_value():
    """A list where the name of a service should be."""
    head, unit, tail = b'{"service":[', b"{}", b"]}"
    count = (MAX_VALUE_BYTES - len(head) - len(tail) + 1) // (len(unit) + 1)
    return head + b",".join([unit] * count) + tail


def resident_kb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
    except OSError:
        pass
    return 0


async def limit_memory(world, balancer, ends, peaks):
    """The platform kills a process above its limit and starts it again."""
    while True:
        await asyncio.sleep(0.01)
        if balancer.process.poll() is None:
            used_kb = resident_kb(balancer.process.pid)
            peaks[balancer.name] = max(peaks.get(balancer.name, 0), used_kb)
            if used_kb <= MEMORY_MB * 1024:
                continue
            balancer.process.send_signal(signal.SIGKILL)
            balancer.process.wait()
            reason = f"{used_kb} kB, more than {MEMORY_MB} MB"
        else:
            reason = f"exit code {balancer.process.returncode}"
        ends.setdefault(balancer.name, []).append(world.record.now())
        world.record.line(f"balancer {balancer.name} ends: {reason}")
        await asyncio.sleep(RESTART_DELAY_S)
        balancer.settings["member_wait_milliseconds"] = 20
        balancer.start()


async def caller_run(world, caller, end, served):
    count = 0
    while time.monotonic() < end:
        count += 1
        flow = caller.flow(ROUTE)
        result = await flow.open()
        if result == "open":
            result = await flow.request(f"{caller.address}-{count}")
        world.record.line(f"caller {caller.address}-{count}: {result}")
        served.append((time.monotonic(), result == "answered"))
        flow.close()
        await asyncio.sleep(0.1)


async def case(record, trouble):
    world = standins.World(record, ["a", "b"], balancers_per_zone=2)
    for zone in world.zones:
        for _ in range(2):
            world.add_host(SERVICE, zone)
        for _ in range(3):
            world.add_caller(zone)
    world.store.put("op/config", standins.configuration(
        7, [standins.route_entry(1, ROUTE[0], ROUTE[1], SERVICE)], [SERVICE]))
    ends, peaks, served = {}, {}, []
    try:
        await world.start()
        await world.wait_ready()
        world.tasks += [asyncio.create_task(limit_memory(world, b, ends, peaks))
                        for b in world.balancers]
        end = time.monotonic() + END_S
        runs = [asyncio.create_task(caller_run(world, c, end, served))
                for c in world.callers]
        await asyncio.sleep(TROUBLE_AT_S)
        start = time.monotonic()
        if trouble:
            value = foreign_value()
            world.store.put("servers/agent-0a11ce77", value)
            record.line(f"another writer's entry of {len(value)} bytes")
        await asyncio.gather(*runs)
        after = [ok for at, ok in served if at > start + 3]
        for balancer in world.balancers:
            name = balancer.name
            record.line(f"balancer {name}: {len(ends.get(name, []))} ends of "
                        f"its own, at most {peaks[name]} kB")
        record.line(f"{sum(after)} of {len(after)} requests were served from "
                    "3 s after the entry on")
        return sum(len(times) >= KILLS for times in ends.values()) < 2
    finally:
        await world.stop()


sys.exit(standins.main(case, FOLDER))
