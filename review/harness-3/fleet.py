"""Starts balancers as the deploy file does, each at a loopback address of its
own, with settings rendered from the template of the deploy file."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTINGS_VARIABLE = "PARSLEYLADDER_SETTINGS"
# Bounds of the small sites.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000,
    "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250,
    "maxStretchMs": 12000, "recoveryS": 12, "flowReorderMs": 2000,
    "maxFlowS": 60,
}


def look_up(values, path):
    for part in path.split("."):
        if isinstance(values, list):
            values = values[int(part)] if int(part) < len(values) else None
        elif isinstance(values, dict):
            values = values.get(part)
        else:
            return None
    return values


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(as_text(entry) for entry in value)
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)


def render(text, values):
    """Fills in a template as the deployment page describes it."""

    def section(match):
        sign, name, body = match.group(1), match.group(2), match.group(3)
        value = look_up(values, name)
        if sign == "^":
            return "" if value else render(body, values)
        if isinstance(value, (dict, list)):
            keys = list(value) if isinstance(value, dict) else range(len(value))
            parts = []
            for index, key in enumerate(keys):
                part = body.replace("{{@}}", str(key))
                part = part.replace("{{.}}", as_text(value[key]))
                last = index == len(value) - 1
                parts.append(part.replace("{{,}}", "" if last else ","))
            return "".join(parts)
        return render(body, values) if value else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text,
                  flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}",
                  lambda m: json.dumps(look_up(values, m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: as_text(look_up(values, m.group(1))), text)


def is_free(address, port):
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        probe = socket.socket(socket.AF_INET, kind)
        try:
            probe.bind((address, port))
        except OSError:
            return False
        finally:
            probe.close()
    return True


class Ports:
    """A loopback subnet of its own and free ports, the same on all machines."""

    def __init__(self):
        for _ in range(200):
            self.net = random.randrange(20, 250)
            base = random.randrange(20000, 30000, 20)
            self.packets, self.ready, self.control = base, base + 1, base + 2
            self.sharing, self.host, self.store = base + 3, base + 4, base + 5
            ports = list(range(base, base + 6)) + [9464]
            if all(is_free(f"127.{self.net}.1.{last}", port)
                   for port in ports for last in (1, 31, 61)):
                return
        raise RuntimeError("no free loopback ports")

    def address(self, group, number):
        return f"127.{self.net}.{group}.{number}"


class Balancer:
    def __init__(self, fleet, index, zone, address):
        self.fleet = fleet
        self.index = index
        self.zone = zone
        self.address = address
        self.name = f"frontend-{zone}-{index}"
        self.process = None
        self.is_ready = False
        self.misses = 0
        self.disturbed = 0.0  # when the process last started or was disturbed
        self.settings_path = os.path.join(fleet.directory, f"{self.name}.json")
        self.log_path = os.path.join(fleet.directory, f"{self.name}.log")

    def write_settings(self, bootstrap):
        fleet, ports = self.fleet, self.fleet.ports
        values = {
            "nodeName": self.name, "role": "balancer",
            "machineClass": "frontend",
            "serves": ["frontend", "control_plane"],
            "ip": self.address, "zone": self.zone, "region": "r",
            "zones": {zone: "r" for zone in fleet.zones},
            "listen": {
                "datagramAddr": f"{self.address}:{ports.packets}",
                "readyAddr": f"{self.address}:{ports.ready}",
                "control": f"{self.address}:{ports.control}",
            },
            "internalPortRange": [ports.sharing, ports.sharing],
            "seeds": fleet.seeds, "bootstrap": bootstrap,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "bounds": dict(BOUNDS, **fleet.extra_bounds),
            "platform": {"address": fleet.store_address},
        }
        with open(os.path.join(ROOT, "deploy/settings.json.template")) as file:
            text = render(file.read(), values)
        json.loads(text)
        with open(self.settings_path, "w") as file:
            file.write(text)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment[SETTINGS_VARIABLE] = self.settings_path
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/parsleyladder/parsleyladder"),
             "balancer"],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log)
        log.close()
        self.disturbed = time.monotonic()

    def signal(self, number):
        self.disturbed = time.monotonic()
        self.process.send_signal(number)


class Fleet:
    def __init__(self, zones, store_address, ports, extra_bounds=None):
        """@zones: name to the number of balancers."""
        self.ports = ports
        self.zones = list(zones)
        self.store_address = store_address
        self.extra_bounds = extra_bounds or {}
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.balancers = []
        for group, (zone, count) in enumerate(zones.items()):
            for number in range(1, count + 1):
                address = ports.address(1, 30 * group + number)
                self.balancers.append(
                    Balancer(self, number, zone, address))
        firsts = {}
        for balancer in self.balancers:
            firsts.setdefault(balancer.zone, balancer)
        self.seeds = [f"{balancer.address}:{ports.control}"
                      for balancer in list(firsts.values())[:3]]

    def start(self):
        for balancer in self.balancers:
            balancer.start(bootstrap=True)

    def stop(self):
        """Ends all processes that were started."""
        running = [b.process for b in self.balancers
                   if b.process and b.process.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline = time.monotonic() + 6
        for process in running:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        # KEEP=1 leaves the settings and logs of the balancers there.
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)
