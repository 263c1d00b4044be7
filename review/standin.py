"""Stand-ins for the platform's store, its fabric, hosts and callers.

All addresses are in 127.0.0.0/8. Each balancer has a store address of its own,
so that the store can tell its callers apart. Everything runs on one asyncio
loop; only the balancers are separate processes.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target/parsleyladder/parsleyladder")

# Bounds of the small sites, in seconds.
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004

SYN, ACK, FIN, RST = 4, 2, 128, 8
HEADER = struct.Struct(">IHIIIBBIHHI")
SUM = 0xA1B2C3D5  # any value but 0, which marks a reset of the system
RETRANSMISSION_S = 0.2
RETRANSMISSION_MAX_S = 1.6
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
WINDOW = 1 << 20  # acknowledged numbers of one flow are closer to its first one
# The stand-ins share one loop; if it was late by more, the run says nothing.
LATENESS_MAX_S = 0.15


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def broke(self, text):
        """Notes that the rule was broken."""
        self.broken.append(text)
        self.write("RULE BROKEN: " + text)

    def close(self):
        self.file.close()


class Packet:
    """A packet of a flow; `data` follows the header of 32 bytes."""

    def __init__(self, **fields):
        self.sum = SUM
        self.seq = self.ack = self.echo = self.flags = self.pad = 0
        self.src = self.dst = 0
        self.sport = self.dport = 0
        self.data = b""
        self.__dict__.update(fields)

    def pack(self):
        return HEADER.pack(self.sum, len(self.data), self.seq & 0xFFFFFFFF,
                           self.ack & 0xFFFFFFFF, self.echo, self.flags, self.pad,
                           self.dst, self.dport, self.sport, self.src) + self.data

    @staticmethod
    def unpack(raw):
        (total, length, seq, ack, echo, flags, pad, dst, dport, sport,
         src) = HEADER.unpack_from(raw)
        return Packet(sum=total, seq=seq, ack=ack, echo=echo, flags=flags, pad=pad,
                      dst=dst, dport=dport, sport=sport, src=src,
                      data=raw[HEADER.size:HEADER.size + length])


def ip_number(text):
    return int.from_bytes(socket.inet_aton(text), "big")


def udp_socket(address, port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.bind((address, port))
    sock.setblocking(False)
    return sock


def free_port(address):
    """A port that is free on `address` for both TCP and UDP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((address, port))
                except OSError:
                    continue
            return port


class Store:
    """The platform's store: linearizable reads, watches, a full history."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.refused = set()  # addresses whose callers get 503
        self.connections = {}  # address to its open connections
        self.on_answer = lambda address, path, body: None

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._change({"key": key, "value": base64.b64encode(raw).decode(),
                      "revision": self.revision + 1, "created": self.revision + 1,
                      "lease": 0})
        self.items[key] = self.history[-1]

    def delete(self, key):
        if self.items.pop(key, None):
            self._change({"key": key, "revision": self.revision + 1, "deleted": True})

    def _change(self, event):
        self.revision += 1
        self.history.append(event)
        self.record.write(f"store: revision {self.revision} {event['key']}"
                          + (" deleted" if "deleted" in event else ""))
        self.changed.set()
        self.changed = asyncio.Event()

    def silence(self):
        """Open connections carry nothing from now on; new ones work."""
        count = 0
        for connections in self.connections.values():
            for connection in connections:
                connection["silent"] = True
                count += 1
        self.record.write(f"store: {count} open connections go silent")

    def refuse(self, address):
        """The balancer with this store address gets 503, at once."""
        self.refused.add(address)
        self.changed.set()
        self.changed = asyncio.Event()

    async def listen(self, address, port):
        self.connections[address] = []
        await asyncio.start_server(
            lambda reader, writer: self._serve(address, reader, writer), address, port)

    async def _serve(self, address, reader, writer):
        connection = {"silent": False}
        self.connections[address].append(connection)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(address, connection, path)
                if connection["silent"]:
                    self.record.write(f"store: {address} sent {path} on a silent "
                                      "connection")
                    await asyncio.sleep(3600)
                payload = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                             f"\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
                             + payload)
                await writer.drain()
                self.on_answer(address, path, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections[address].remove(connection)
            writer.close()

    async def _answer(self, address, connection, path):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if address in self.refused:
            return 503, {}
        if url.path == "/api/kv-range":
            await asyncio.sleep(STORE_ANSWER_S)
            items = [self.items[key] for key in sorted(self.items)
                     if key.startswith(query.get("prefix", ""))
                     and key > query.get("after", "")]
            return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
        if url.path != "/api/kv-watch":
            return 404, {}
        after = int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for event in self.history if event["revision"] > after
                      and event["key"].startswith(query.get("prefix", ""))]
            left = deadline - time.monotonic()
            if address in self.refused:
                return 503, {}
            if events or left <= 0 or connection["silent"]:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Host:
    """A server: registers itself, accepts flows, runs requests."""

    def __init__(self, world, number, service, zone, host_id=None, work_s=0.05,
                 max_flows=2000):
        self.world = world
        self.max_flows = max_flows
        self.id = host_id or f"i-{0x7f3a0000 + number:08x}"
        self.number = int(self.id[2:], 16)
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.drained_at = None  # when the store accepted that it drains
        self.flows = {}
        self.refused = 0  # opening packets that came while it was full
        self.address = f"127.{world.net}.2.{number}"
        self.sock = udp_socket(self.address, world.host_port)
        asyncio.get_running_loop().add_reader(self.sock, self._readable)
        world.tasks.append(asyncio.create_task(self._listen()))
        world.tasks.append(asyncio.create_task(self._heartbeat()))

    def entry(self):
        return {"service": self.service, "address": f"{self.address}:{self.world.host_port}",
                "zone": self.zone, "version": "v1", "slots": 3, "state": self.state,
                "coldRemainingMs": 0, "sequence": 1, "born": self.born}

    def publish(self):
        """Writes the entry; it changes only if more than `sequence` changes."""
        key = "servers/" + self.id
        raw = json.dumps(self.entry()).encode()
        item = self.world.store.items.get(key)
        if not item or base64.b64decode(item["value"]) != raw:
            self.world.store.put(key, raw)

    def drain(self):
        self.state = "draining"
        self.publish()
        self.drained_at = self.world.record.now()
        self.world.record.write(f"host {self.id}: draining, acknowledged")

    async def _heartbeat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def _listen(self):
        async def accept(reader, writer):
            try:
                if await reader.read(1024):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
            except ConnectionError:
                pass
            writer.close()
        await asyncio.start_server(accept, self.address, self.world.host_port)

    def _send(self, packet):
        self.sock.sendto(packet.pack(), (socket.inet_ntoa(packet.dst.to_bytes(4, "big")),
                                         self.world.packet_port))

    def _answer(self, packet, **fields):
        answer = Packet(src=packet.dst, sport=packet.dport, dst=packet.src,
                        dport=packet.sport, echo=packet.echo)
        answer.__dict__.update(fields)
        self._send(answer)

    def _readable(self):
        while True:
            try:
                raw, source = self.sock.recvfrom(4096)
            except BlockingIOError:
                return
            if int.from_bytes(raw[:8], "big") in (0, self.number):
                self._packet(Packet.unpack(raw[8:]), source[0])

    def _packet(self, packet, balancer):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN and not flow and len(self.flows) >= self.max_flows:
            self.refused += 1  # a full host sends nothing
        elif packet.flags & SYN:
            self.world.record.write(
                f"host {self.id}: SYN of port {packet.sport} to {packet.dport} "
                f"through {balancer}")
            self.world.on_open(self, packet, balancer)
            if not flow:
                flow = self.flows[key] = {"seq": random.getrandbits(31), "done": {},
                                          "open": False}
            self._answer(packet, flags=SYN | ACK, seq=flow["seq"], ack=packet.seq + 1)
        elif packet.flags & RST:
            self.flows.pop(key, None)
        elif not flow:
            self.world.record.write(f"host {self.id}: reset, port {packet.sport} unknown")
            self._answer(packet, flags=RST, seq=packet.ack)
        elif not 0 <= packet.ack - flow["seq"] < WINDOW:
            self.world.record.write(f"host {self.id}: port {packet.sport} acknowledges "
                                    "another host")
        elif packet.flags & FIN:
            self._answer(packet, flags=ACK | FIN, seq=packet.ack, ack=packet.seq + 1)
            self.flows.pop(key, None)
        else:
            flow["open"] = True
            if packet.data:
                self._request(flow, key, packet)

    def holds(self, flow):
        """True if the caller's end `flow` is open at this host."""
        own = self.flows.get((ip_number(flow.caller.address), flow.port,
                              ip_number(flow.route[0]), flow.route[1]))
        return bool(own) and own["open"]

    def _request(self, flow, key, packet):
        end = packet.seq + len(packet.data)
        # The data is acknowledged at once, so nothing is sent again needlessly.
        self._answer(packet, flags=ACK, seq=packet.ack, ack=end)
        if packet.seq in flow["done"]:
            if flow["done"][packet.seq]:
                self._answer(packet, flags=ACK, seq=packet.ack, ack=end,
                             data=flow["done"][packet.seq])
            return
        flow["done"][packet.seq] = b""
        request = packet.data.decode()
        self.world.record.write(f"host {self.id}: runs {request.splitlines()[0]} "
                                f"{request.splitlines()[1]}")
        asyncio.get_running_loop().call_later(self.work_s, self._finish, flow, key,
                                              packet, end)

    def _finish(self, flow, key, packet, end):
        if key not in self.flows:
            return
        body = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: " + self.id.encode() \
            + b"\r\nContent-Length: 2\r\n\r\nok"
        flow["done"][packet.seq] = body
        self._answer(packet, flags=ACK, seq=packet.ack, ack=end, data=body)


class Flow:
    """A caller's end of a flow, to the route (address, port) of the platform."""

    def __init__(self, caller, route, balancer=None):
        self.caller = caller
        self.world = caller.world
        self.route = route
        self.balancer = balancer  # a direct flow; else the fabric decides
        self.port = caller.next_port()
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.echo = 0
        self.state = "opening"
        self.host = None  # id, from the first response
        self.changed = asyncio.Event()
        self.response = None
        self.acknowledged = False
        caller.flows[self.port] = self

    def _send(self, flags, seq, ack, data=b""):
        target = self.balancer or self.world.fabric(self.caller, self.port)
        if not target:
            return
        packet = Packet(flags=flags, seq=seq, ack=ack, data=data,
                        echo=0 if flags & SYN else self.echo,
                        src=ip_number(self.caller.address), sport=self.port,
                        dst=ip_number(self.route[0]), dport=self.route[1])
        self.caller.sock.sendto(packet.pack(), (target.address, self.world.packet_port))

    async def _wait(self, seconds):
        try:
            await asyncio.wait_for(self.changed.wait(), seconds)
        except asyncio.TimeoutError:
            pass
        self.changed.clear()

    async def open(self):
        """Sends the SYN and its copies; true if the flow is open."""
        begin = time.monotonic()
        copies = list(SYN_COPIES_S)
        copy = 0
        self._send(SYN, self.seq, 0)
        while self.state == "opening":
            age = time.monotonic() - begin
            if age >= SYN_TIMEOUT_S:
                self.state = "timeout"
            elif copies and age >= copies[0]:
                copies.pop(0)
                copy += 1
                self._send(SYN, self.seq, copy)
            else:
                await self._wait((copies[0] if copies else SYN_TIMEOUT_S) - age)
        return self.state == "open"

    async def request(self, text, timeout_s):
        """Returns the response, or None if the flow broke or nothing came."""
        data = text.encode()
        self.response = None
        self.acknowledged = False
        delay = RETRANSMISSION_S
        end = time.monotonic() + timeout_s
        self._send(ACK, self.seq, self.ack, data)
        again = time.monotonic() + delay
        while self.state == "open" and self.response is None and time.monotonic() < end:
            await self._wait(min(again, end) - time.monotonic()
                             if not self.acknowledged else end - time.monotonic())
            if time.monotonic() >= again and not self.acknowledged \
                    and self.response is None and self.state == "open":
                delay = min(2 * delay, RETRANSMISSION_MAX_S)
                again = time.monotonic() + delay
                self._send(ACK, self.seq, self.ack, data)
        return self.response

    def close(self):
        if self.state == "open":
            self._send(FIN | ACK, self.seq, self.ack)
        self.state = "closed"
        self.caller.flows.pop(self.port, None)

    def receive(self, packet, source):
        if packet.flags & RST:
            if self.state in ("opening", "open"):
                self.world.on_reset(self, packet, source)
                self.state = "reset"
        elif packet.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.echo = packet.echo
                self.seq += 1
                self.ack = packet.seq + 1
                self._send(ACK, self.seq, self.ack)
        elif self.state == "open":
            self.echo = packet.echo
            if packet.ack > self.seq:
                self.seq = packet.ack
                self.acknowledged = True
            if packet.data and packet.seq == self.ack:
                self.ack += len(packet.data)
                self.response = packet.data.decode()
                self._send(ACK, self.seq, self.ack)
        self.changed.set()


class Caller:
    """A client machine with an address of its own."""

    def __init__(self, world, number, zone):
        self.world = world
        self.number = number
        self.zone = zone
        self.address = f"127.{world.net}.4.{number}"
        self.flows = {}
        self.port = 40000
        self.sock = udp_socket(self.address, world.packet_port)
        asyncio.get_running_loop().add_reader(self.sock, self._readable)

    def next_port(self):
        self.port += 1
        return self.port

    def _readable(self):
        while True:
            try:
                raw, source = self.sock.recvfrom(4096)
            except BlockingIOError:
                return
            packet = Packet.unpack(raw)
            flow = self.flows.get(packet.dport)
            if flow:
                flow.receive(packet, source[0])


class Balancer:
    """A process of the product, started as the deploy file says."""

    def __init__(self, world, number, zone):
        self.world = world
        self.number = number
        self.zone = zone
        self.name = f"frontend-{zone}-{number}"
        self.address = f"127.{world.net}.3.{number}"
        self.store_address = f"127.{world.net}.1.{number}"
        self.settings = os.path.join(world.folder, self.name + ".json")
        self.process = None
        self.should_run = False
        self.ready = False
        self.misses = 0

    def start(self, bootstrap):
        world = self.world
        settings = {
            "instance_id": self.name, "availability_zone": self.zone,
            "packet_endpoint": f"{self.address}:{world.packet_port}",
            "readiness_endpoint": f"{self.address}:{world.ready_port}",
            "control_endpoint": f"{self.address}:{world.control_port}",
            "admin_endpoint": f"{self.address}:{world.admin_port}",
            "store_endpoint": f"{self.store_address}:{world.store_port}",
            "sharing_port": world.sharing_port, "core_share": "0.25",
            "seeds": [f"{balancer.address}:{world.control_port}"
                      for balancer in world.seeds()],
            "member_wait_milliseconds": 600 if bootstrap else 20,
            "flow_age_max_seconds": 60}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["PARSLEYLADDER_SETTINGS"] = self.settings
        with open(os.path.join(world.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen([BINARY, "balancer"], cwd=ROOT, stdout=log,
                                            stderr=log, env=environment)
        self.should_run = True
        world.record.write(f"balancer {self.name} at {self.address}: started")

    def signal(self, number):
        self.world.record.write(f"balancer {self.name}: {signal.Signals(number).name}")
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.should_run = False
        self.process.send_signal(number)

    async def get(self, port, path):
        """The status and body of a GET request, or None."""
        async def exchange():
            reader, writer = await asyncio.open_connection(self.address, port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                         .encode())
            raw = await reader.read()
            writer.close()
            head, _, body = raw.partition(b"\r\n\r\n")
            return int(head.split()[1]), body.decode()
        try:
            return await asyncio.wait_for(exchange(), 0.4)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return None

    async def state(self):
        answer = await self.get(self.world.admin_port, "/v1/state")
        return json.loads(answer[1]) if answer and answer[0] == 200 else None


class World:
    """A small deployment, with the fabric in front of its balancers."""

    nets = random.sample(range(20, 220), 32)

    def __init__(self, record):
        self.record = record
        self.directory = tempfile.TemporaryDirectory(prefix="parsleyladder-review-")
        self.folder = self.directory.name
        self.net = World.nets.pop()
        self.packet_port = free_port(f"127.{self.net}.3.1")
        self.ready_port, self.control_port, self.admin_port = (
            free_port(f"127.{self.net}.3.1") for _ in range(3))
        self.sharing_port = free_port(f"127.{self.net}.3.1")
        self.store_port = free_port(f"127.{self.net}.1.1")
        self.host_port = free_port(f"127.{self.net}.2.1")
        self.store = Store(self.record)
        self.balancers = []
        self.hosts = []
        self.callers = []
        self.tasks = []
        self.lateness = 0.0
        self.on_open = lambda host, packet, balancer: None
        self.on_reset = lambda flow, packet, source: None

    def seeds(self):
        """One balancer of each zone, three at most."""
        first = {}
        for balancer in self.balancers:
            first.setdefault(balancer.zone, balancer)
        return list(first.values())[:3]

    async def start(self, zones, hosts, callers):
        """`zones` and `hosts`: one zone, or (service, zone), for each machine."""
        for number, zone in enumerate(zones, 1):
            balancer = Balancer(self, number, zone)
            self.balancers.append(balancer)
            await self.store.listen(balancer.store_address, self.store_port)
        for number, (service, zone) in enumerate(hosts, 1):
            self.hosts.append(Host(self, number, service, zone))
        for number, zone in enumerate(callers, 1):
            self.callers.append(Caller(self, number, zone))
        self.tasks.append(asyncio.create_task(self._measure()))
        for balancer in self.balancers:
            balancer.start(True)
            self.tasks.append(asyncio.create_task(self._probe(balancer)))

    async def _probe(self, balancer):
        """Out of rotation after two misses, back with the first 200."""
        while True:
            answer = await balancer.get(self.ready_port, "/api/readyz")
            is_up = bool(answer) and answer[0] == 200
            balancer.misses = 0 if is_up else balancer.misses + 1
            ready = is_up or (balancer.ready and balancer.misses < 2)
            if ready != balancer.ready:
                self.record.write(f"fabric: {balancer.name} "
                                  f"{'in' if ready else 'out of'} rotation")
            balancer.ready = ready
            if balancer.should_run and balancer.process.poll() is not None:
                balancer.should_run = False
                self.record.write(f"balancer {balancer.name} ended by itself: "
                                  f"{balancer.process.returncode}")
            await asyncio.sleep(0.5)

    def fabric(self, caller, port):
        """The balancer of the caller's zone for a flow, by rendezvous hash."""
        nodes = [b for b in self.balancers if b.zone == caller.zone]
        ready = [b for b in nodes if b.ready]
        if len(ready) * 2 >= len(nodes):
            nodes = ready
        if not ready:
            nodes = [b for b in self.balancers if b.ready] or nodes
        return max(nodes, key=lambda b: hash((caller.number, port, b.number)),
                   default=None)

    def holder(self, flow):
        """The host at which the flow is open, or None."""
        return next((host for host in self.hosts if host.holds(flow)), None)

    async def _measure(self):
        """Measures how late the loop of the stand-ins is."""
        while True:
            begin = time.monotonic()
            await asyncio.sleep(0.02)
            self.lateness = max(self.lateness, time.monotonic() - begin - 0.02)

    async def until_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if all(balancer.ready for balancer in self.balancers):
                return True
            await asyncio.sleep(0.1)
        return False

    def balancer_at(self, address):
        return next((b for b in self.balancers if b.address == address), None)

    def close(self):
        for balancer in self.balancers:
            if balancer.process and balancer.process.poll() is None:
                balancer.process.send_signal(signal.SIGCONT)
                balancer.process.kill()
                balancer.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for name in os.listdir(self.folder):
                with open(os.path.join(self.folder, name), "rb") as source, \
                        open(os.path.join(keep, f"{self.net}-{name}"), "wb") as copy:
                    copy.write(source.read())
        self.directory.cleanup()


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(case_folder, case):
    """Runs the case; the exit code: 1 rule broken, 0 held, 2 could not run."""
    async def main():
        record = Record(case_folder)
        world = World(record)
        try:
            if not os.path.exists(BINARY):
                world.record.write("not built: target/parsleyladder/parsleyladder")
                return 2
            could_run = await asyncio.wait_for(case(world), 110)
            world.record.write(f"stand-ins late by {world.lateness * 1000:.0f} ms at most")
            if not could_run or world.lateness > LATENESS_MAX_S:
                world.record.write("the case could not run")
                return 2
            world.record.write("rule broken" if world.record.broken else "rule held")
            return 1 if world.record.broken else 0
        finally:
            for task in world.tasks:
                task.cancel()
            world.close()
            record.close()
    raise SystemExit(asyncio.run(main()))
