"""Stand-ins of the platform for the scripts of review 2.

One process holds the metadata store, the backend servers, the callers and the
fabric between callers and balancers, and starts the balancers as processes of
their own. All addresses are loopback addresses.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = [os.path.join(ROOT, "target/parsleyladder/parsleyladder"), "balancer"]

SYN, ACK, FIN, RST = 4, 2, 128, 8
HEAD = struct.Struct(">IHIIIBBIHHI")
DATA_MAX = 1200
OPENING_COPIES_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRANSMISSION_S = 0.2
RETRANSMISSION_MAX_S = 1.6
HEARTBEAT_S = 1.2
KEY = b"stand-in"


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def address_of(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Packet:
    """The fields of a packet, in the order of the platform's page."""

    def __init__(self, data=None, **fields):
        self.payload = b""
        self.seq = self.ack = self.echo = self.flags = self.pad = self.sum = 0
        if data is not None:
            (self.sum, length, self.seq, self.ack, self.echo, self.flags,
             self.pad, dst, self.dport, self.sport, src) = HEAD.unpack_from(data)
            self.dst, self.src = address_of(dst), address_of(src)
            self.payload = data[HEAD.size:HEAD.size + length]
            return
        for name, value in fields.items():
            setattr(self, name, value)

    def digest(self):
        """Keyed sum over all fields but echo, pad and BOUNCED."""
        text = KEY + HEAD.pack(0, len(self.payload), self.seq, self.ack, 0,
                               self.flags & ~32, 0, number(self.dst),
                               self.dport, self.sport, number(self.src))
        return zlib.crc32(text + self.payload) or 1

    def bytes(self):
        self.sum = self.digest()
        return HEAD.pack(self.sum, len(self.payload), self.seq & 0xffffffff,
                         self.ack & 0xffffffff, self.echo, self.flags, self.pad,
                         number(self.dst), self.dport, self.sport,
                         number(self.src)) + self.payload


class Record:
    """What was sent, answered and run, for the reader of a case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The metadata store: keys, one revision counter, listings and watches."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1_000_000

    def __init__(self, record, history_s=20):
        self.record = record
        self.history_s = history_s
        self.revision = 100
        self.items = {}
        self.history = []  # (revision, time, event)
        self.changed = asyncio.Event()
        self.silent_tasks = set()
        self.tasks = {}
        self.cut_addresses = set()  # of the listeners that do not respond
        self.servers = []
        self.on_answer = None
        self.link_bits_per_s = 0  # of each balancer's machine; 0: no limit
        self.links = {}

    def put(self, key, value):
        if isinstance(value, (dict, list)):
            value = json.dumps(value, separators=(",", ":")).encode()
        if len(value) > 1048576:
            raise CannotRun("value above maxValueBytes")
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": 0}
        self.items[key] = item
        self._event(item)
        return self.revision

    def delete(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self._event({"key": key, "revision": self.revision, "deleted": True})

    def _event(self, event):
        self.history.append((self.revision, time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        limit = time.monotonic() - self.history_s
        while self.history and self.history[0][1] < limit:
            self.history.pop(0)

    async def start(self, address, port):
        """A listener for one balancer, so that it can be cut off alone."""
        self.servers.append(await asyncio.start_server(self._serve, address,
                                                       port))

    def silence_open_connections(self, address=None):
        """Open connections fall silent for good; new ones work."""
        chosen = [task for task, own in self.tasks.items()
                  if address in (None, own)]
        self.silent_tasks.update(chosen)
        return len(chosen)

    async def _silence(self, task, address):
        """Returns while the connection works."""
        while task in self.silent_tasks or address in self.cut_addresses:
            await asyncio.sleep(3600)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        address = writer.get_extra_info("sockname")[0]
        self.tasks[task] = address
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._silence(task, address)
                method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query,
                                                    keep_blank_values=True))
                status, body = await self._answer(url.path, query)
                await self._silence(task, address)
                data = json.dumps(body, separators=(",", ":")).encode()
                if len(data) > 1_000_000:
                    self.record.line(f"store {url.path} answers {status} with "
                                     f"{len(data)} bytes")
                await self._send(writer, address, b"HTTP/1.1 %d X\r\n"
                                 b"Content-Type: application/json\r\n"
                                 b"Content-Length: %d\r\n\r\n"
                                 % (status, len(data)) + data)
                if self.on_answer:
                    self.on_answer(address, url.path)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.tasks.pop(task, None)
            self.silent_tasks.discard(task)
            writer.close()

    async def _send(self, writer, address, data):
        """The answers to one machine share its link."""
        if not self.link_bits_per_s:
            writer.write(data)
            await writer.drain()
            return
        size = self.link_bits_per_s // 8 // 100
        for offset in range(0, len(data), size):
            part = data[offset:offset + size]
            now = time.monotonic()
            start = max(now, self.links.get(address, 0))
            self.links[address] = start + len(part) * 8 / self.link_bits_per_s
            await asyncio.sleep(self.links[address] - now)
            writer.write(part)
            await writer.drain()

    async def _answer(self, path, query):
        if path == "/api/kv-range":
            return 200, self._range(query)
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            if not item:
                return 404, {}
            return 200, dict(item, currentRev=self.revision)
        return 404, {}

    def _range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query.get("prefix", "")) and
                      k > query.get("after", ""))
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (len(page) >= self.PAGE_ITEMS or
                         size > self.PAGE_BYTES):
                break
            page.append(self.items[key])
        return {"items": page, "hasMore": len(page) < len(keys),
                "currentRev": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            self._expire()
            oldest = self.history[0][0] if self.history else self.revision + 1
            if after < oldest - 1:
                return 410, {}
            first = bisect.bisect_right([h[0] for h in self.history], after)
            events = [h[2] for h in self.history[first:]
                      if h[2]["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class HostFlow:
    def __init__(self, syn, echo):
        self.seq = random.randrange(1 << 32)
        self.next = (self.seq + 1) & 0xffffffff
        self.received = (syn.seq + 1) & 0xffffffff
        self.echo = echo
        self.is_open = False
        self.buffer = b""
        self.unacknowledged = 0
        self.sent = {}  # seq to payload and timer
        self.has_fin = False


class Host(asyncio.DatagramProtocol):
    """A backend server: packets over UDP, the health path over TCP."""

    def __init__(self, world, host_id, service, zone, address, port,
                 work_s=0.04):
        self.world = world
        self.id, self.service, self.zone = host_id, service, zone
        self.address, self.port = address, port
        self.work_s = work_s
        self.number = int(host_id.rsplit("-", 1)[1], 16)
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.resets_sent = set()
        self.state = "ready"
        self.sequence = 0
        self.runs = []
        self.openings = []  # (time, balancer) of each first opening packet
        self.health = None
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.port))
        self.health = await asyncio.start_server(self._health, self.address,
                                                 self.port)
        self.register()

    def stop(self):
        if self.transport:
            self.transport.close()
        if self.health:
            self.health.close()
        self.transport = self.health = None

    def entry(self):
        return {"service": self.service,
                "address": f"{self.address}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 3, "state": self.state,
                "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}

    def register(self):
        self.sequence += 1
        self.world.store.put("servers/" + self.id, self.entry())

    async def _health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                         if self.state == "ready" else
                         b"HTTP/1.1 503 Leaving\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def datagram_received(self, data, sender):
        ident = struct.unpack(">Q", data[:8])[0]
        packet = Packet(data[8:])
        if ident not in (0, self.number):
            return
        if packet.sum != packet.digest():
            self.world.foreign.append((self.id, packet))
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.is_open:
                flow = self.flows[key] = HostFlow(packet, packet.echo)
                self.openings.append((time.monotonic(), sender[0]))
            flow.echo = packet.echo
            self._send(key, flow, SYN | ACK, flow.seq)
            return
        if flow is None:
            if not packet.flags & RST:
                self._reset(key, packet)
            return
        flow.echo = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        self._acknowledged(flow, packet)
        if not flow.is_open:
            flow.is_open = True
            self.world.flow_open(self, key)
        self._data(key, flow, packet)

    def _acknowledged(self, flow, packet):
        for seq in list(flow.sent):
            end = (seq + max(len(flow.sent[seq][0]), 1)) & 0xffffffff
            if (packet.ack - end) & 0xffffffff < 1 << 31:
                flow.sent.pop(seq)[1].cancel()

    def _data(self, key, flow, packet):
        has_fin = bool(packet.flags & FIN)
        if not packet.payload and not has_fin:
            return
        if packet.seq != flow.received:
            self._send(key, flow, ACK, flow.next)
            return
        flow.received = (flow.received + len(packet.payload) + has_fin) \
            & 0xffffffff
        flow.buffer += packet.payload
        flow.unacknowledged += 1
        if flow.unacknowledged >= 2 or has_fin:
            flow.unacknowledged = 0
            self._send(key, flow, ACK, flow.next)
        if has_fin:
            self._send(key, flow, FIN | ACK, flow.next)
            self.flows.pop(key, None)
            self.world.flow_closed(self, key)
            return
        while b"\r\n\r\n" in flow.buffer:
            head, flow.buffer = flow.buffer.split(b"\r\n\r\n", 1)
            request = dict(line.split(": ", 1) for line in
                           head.decode().split("\r\n")[1:])
            self.runs.append(request["X-Request-Id"])
            self.world.record.line(f"host {self.id} ({self.service}) runs "
                                   f"{request['X-Request-Id']}")
            asyncio.get_running_loop().call_later(
                self.work_s, self._respond, key, flow, request["X-Request-Id"])

    def _respond(self, key, flow, request_id):
        if self.flows.get(key) is not flow or not self.transport:
            return
        body = b"x" * 2000
        data = (f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.id}\r\n"
                f"X-Request-Id: {request_id}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        for offset in range(0, len(data), DATA_MAX):
            self._transmit(key, flow, data[offset:offset + DATA_MAX])
        flow.unacknowledged = 0

    def _transmit(self, key, flow, payload):
        seq = flow.next
        flow.next = (flow.next + len(payload)) & 0xffffffff
        self._send_copy(key, flow, seq, payload, RETRANSMISSION_S, 0)

    def _send_copy(self, key, flow, seq, payload, delay_s, copies):
        if self.flows.get(key) is not flow or not self.transport or copies > 8:
            return
        self._send(key, flow, ACK, seq, payload)
        flow.sent[seq] = (payload, asyncio.get_running_loop().call_later(
            delay_s, self._send_copy, key, flow, seq, payload,
            min(2 * delay_s, RETRANSMISSION_MAX_S), copies + 1))

    def _send(self, key, flow, flags, seq, payload=b""):
        src, sport, dst, dport = key
        packet = Packet(src=dst, sport=dport, dst=src, dport=sport,
                        flags=flags, seq=seq, ack=flow.received,
                        echo=flow.echo, payload=payload)
        self.transport.sendto(packet.bytes(), (src, self.world.packet_port))

    def _reset(self, key, cause):
        src, sport, dst, dport = key
        packet = Packet(src=dst, sport=dport, dst=src, dport=sport, flags=RST,
                        seq=cause.ack, ack=cause.seq, echo=cause.echo)
        self.resets_sent.add(key)
        self.world.record.line(f"host {self.id} resets {key}")
        self.transport.sendto(packet.bytes(), (src, self.world.packet_port))


class Flow:
    """The caller's end of a flow."""

    def __init__(self, caller, port, route):
        self.caller = caller
        self.key = (caller.address, port) + route
        self.seq = random.randrange(1 << 32)
        self.next = (self.seq + 1) & 0xffffffff
        self.received = 0
        self.echo = 0
        self.state = "opening"
        self.buffer = b""
        self.unacknowledged = 0
        self.timers = []
        self.sent = {}
        self.waiter = asyncio.get_running_loop().create_future()
        self.end_reason = None

    def _send(self, flags, seq, payload=b"", ack=None):
        src, sport, dst, dport = self.key
        packet = Packet(src=src, sport=sport, dst=dst, dport=dport, flags=flags,
                        seq=seq, ack=self.received if ack is None else ack,
                        echo=self.echo, payload=payload)
        self.caller.send(packet)

    async def open(self):
        loop = asyncio.get_running_loop()
        self._send(SYN, self.seq, ack=0)
        for copy, delay_s in enumerate(OPENING_COPIES_S, 1):
            self.timers.append(loop.call_later(delay_s, self._send, SYN,
                                               self.seq, b"", copy))
        self.timers.append(loop.call_later(OPENING_TIMEOUT_S, self._end,
                                           "timeout"))
        return await self.waiter

    def _end(self, reason):
        for timer in self.timers:
            timer.cancel()
        for _, timer in self.sent.values():
            timer.cancel()
        self.sent = {}
        if self.state != "closed":
            self.state = "closed"
            self.end_reason = reason
        if not self.waiter.done():
            self.waiter.set_result(reason)

    def handle(self, packet):
        if self.state == "closed":
            return
        if packet.flags & RST:
            self._handle_reset(packet)
            return
        if packet.sum != packet.digest():
            self.caller.world.foreign.append((self.caller.address, packet))
            return
        if packet.flags & SYN:
            if self.state != "opening":
                return
            for timer in self.timers:
                timer.cancel()
            self.state = "open"
            self.echo = packet.echo
            self.received = (packet.seq + 1) & 0xffffffff
            self._send(ACK, self.next)
            self.waiter.set_result("open")
            return
        if self.state == "opening":
            return
        self.echo = packet.echo
        for seq in list(self.sent):
            end = (seq + len(self.sent[seq][0])) & 0xffffffff
            if (packet.ack - end) & 0xffffffff < 1 << 31:
                self.sent.pop(seq)[1].cancel()
        if not packet.payload:
            return
        if packet.seq != self.received:
            self._send(ACK, self.next)
            return
        self.received = (self.received + len(packet.payload)) & 0xffffffff
        self.buffer += packet.payload
        self.unacknowledged += 1
        if self.unacknowledged >= 2:
            self.unacknowledged = 0
            self._send(ACK, self.next)
        self._response_check()

    def _handle_reset(self, packet):
        world = self.caller.world
        if self.state != "opening":
            distance = (packet.seq - self.received) & 0xffffffff
            if min(distance, (1 << 32) - distance) > 76800:
                return
        by_system = packet.sum == 0
        world.reset_received(self, by_system)
        self._end("reset by the system" if by_system else "reset by the host")

    def _response_check(self):
        if b"\r\n\r\n" not in self.buffer:
            return
        head, body = self.buffer.split(b"\r\n\r\n", 1)
        length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        if len(body) < length:
            return
        self.buffer = body[length:]
        if not self.waiter.done():
            self.waiter.set_result("answered")

    async def request(self, request_id, timeout_s=4):
        if self.state != "open":
            return self.end_reason
        self.waiter = asyncio.get_running_loop().create_future()
        payload = (f"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}"
                   "\r\n\r\n").encode()
        seq = self.next
        self.next = (self.next + len(payload)) & 0xffffffff
        self._transmit(seq, payload, RETRANSMISSION_S)
        try:
            return await asyncio.wait_for(asyncio.shield(self.waiter),
                                          timeout_s)
        except asyncio.TimeoutError:
            self._end("deadline")
            return "deadline"

    def _transmit(self, seq, payload, delay_s):
        if self.state != "open":
            return
        self._send(ACK, seq, payload)
        self.sent[seq] = (payload, asyncio.get_running_loop().call_later(
            delay_s, self._transmit, seq, payload,
            min(2 * delay_s, RETRANSMISSION_MAX_S)))

    def close(self):
        if self.state == "open":
            self._send(FIN | ACK, self.next)
        self._end("closed")


class Caller(asyncio.DatagramProtocol):
    def __init__(self, world, address, zone):
        self.world, self.address, self.zone = world, address, zone
        self.flows = {}
        self.next_port = random.randrange(20000, 30000)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.packet_port))

    def datagram_received(self, data, _):
        packet = Packet(data)
        flow = self.flows.get((packet.dport, packet.src, packet.sport))
        if flow:
            flow.handle(packet)

    def send(self, packet):
        target = self.world.route(self.zone, packet)
        if target:
            self.transport.sendto(packet.bytes(),
                                  (target, self.world.packet_port))

    def flow(self, route):
        self.next_port += 1
        flow = Flow(self, self.next_port, route)
        self.flows[(self.next_port,) + route] = flow
        return flow


class Balancer:
    def __init__(self, world, name, zone, address, settings):
        self.world, self.name, self.zone = world, name, zone
        self.address, self.settings = address, settings
        self.store_address = address.replace("127.1.", "127.4.", 1)
        self.process = None
        self.misses = 2
        self.is_ready = False
        self.started = None

    def start(self):
        folder = os.path.join(self.world.folder, self.name)
        os.makedirs(folder, exist_ok=True)
        path = os.path.join(folder, "local.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings if isinstance(self.settings, str)
                       else json.dumps(self.settings, indent=1))
        log = open(os.path.join(folder, "log"), "ab")
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PARSLEYLADDER_SETTINGS"] = path
        self.process = subprocess.Popen(PROGRAM, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL, cwd=ROOT,
                                        env=environment)
        log.close()
        self.started = time.monotonic()
        self.world.record.line(f"balancer {self.name} starts")

    def kill(self, number):
        self.world.record.line(f"balancer {self.name} gets "
                               f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    async def watch_readiness(self):
        while True:
            ok = await self._ask()
            self.misses = 0 if ok else self.misses + 1
            ready = ok or (self.is_ready and self.misses < 2)
            if ready != self.is_ready:
                self.world.record.line(f"balancer {self.name} is "
                                       f"{'in' if ready else 'out of'} rotation")
            self.is_ready = ready
            await asyncio.sleep(0.5)

    async def _ask(self):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.address, self.world.ready_port), 0.5)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            if writer:
                writer.close()


def free_ports(count):
    """Ports that are free on all of 127.0.0.0/8, for TCP and UDP."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10500, 28000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                probe = socket.socket(socket.AF_INET, kind)
                probe.bind(("0.0.0.0", port))
                probe.close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class World:
    """A small deployment: zones with balancers, hosts and callers."""

    def __init__(self, record, zones, balancers_per_zone=1, bounds=None):
        self.record = record
        self.zones = zones
        self.foreign = []
        self.resets = []  # (time, flow, by_system)
        self.open_flows = {}
        (self.packet_port, self.ready_port, self.control_port,
         self.sharing_port, self.store_port, self.admin_port) = free_ports(6)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store(record)
        self.hosts, self.callers, self.balancers = [], [], []
        self.tasks = []
        for z, zone in enumerate(zones):
            for i in range(balancers_per_zone):
                self.balancers.append(Balancer(
                    self, f"frontend-{zone}-{i + 1}", zone,
                    f"127.1.{z + 1}.{i + 10}", None))
        for balancer in self.balancers:
            balancer.settings = self.settings(balancer, bounds or {})

    def settings(self, balancer, bounds):
        """What the platform makes of deploy/settings.json.template."""
        bounds = dict({"maxFlowS": 60}, **bounds)
        seeds = [f"{b.address}:{self.control_port}" for b in self.balancers]
        return {
            "instance_id": balancer.name,
            "availability_zone": balancer.zone,
            "availability_zones": self.zones,
            "packet_endpoint": f"{balancer.address}:{self.packet_port}",
            "readiness_endpoint": f"{balancer.address}:{self.ready_port}",
            "control_endpoint": f"{balancer.address}:{self.control_port}",
            "admin_endpoint": f"{balancer.address}:{self.admin_port}",
            "store_endpoint": f"{balancer.store_address}:{self.store_port}",
            "sharing_port": self.sharing_port,
            "core_share": "0.25",
            "seeds": seeds[:3],
            "member_wait_milliseconds": 600,
            "slow_start_overage": "",
            "slow_start_slack_flows": "",
            "flow_age_max_seconds": bounds["maxFlowS"],
            "spillover": "on",
            "spillover_gain_milliseconds": 5,
            "failing_host_ejection": "on",
            "host_speed_weights": "on",
            "admission_by_priority": "on",
        }

    async def start(self):
        for balancer in self.balancers:
            await self.store.start(balancer.store_address, self.store_port)
        for host in self.hosts:
            await host.start()
        for caller in self.callers:
            await caller.start()
        for balancer in self.balancers:
            balancer.start()
            self.tasks.append(asyncio.create_task(balancer.watch_readiness()))
        self.tasks.append(asyncio.create_task(self._heartbeats()))

    async def wait_ready(self, timeout_s=10):
        end = time.monotonic() + timeout_s
        while not all(b.is_ready for b in self.balancers):
            if time.monotonic() > end:
                raise CannotRun("the balancers did not become ready")
            await asyncio.sleep(0.1)

    def add_host(self, service, zone, work_s=0.04):
        index = len(self.hosts) + 1
        host = Host(self, f"i-{random.randrange(1 << 28, 1 << 32):08x}",
                    service, zone, f"127.2.0.{index}", self.store_port + 0,
                    work_s)
        self.hosts.append(host)
        return host

    def add_caller(self, zone):
        caller = Caller(self, f"127.3.0.{len(self.callers) + 1}", zone)
        self.callers.append(caller)
        return caller

    async def _heartbeats(self):
        """An entry changes when more than its sequence number does."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for host in self.hosts:
                host.sequence += 1

    def route(self, zone, packet):
        """The fabric: a hash of the flow over the nodes in rotation."""
        own = [b for b in self.balancers if b.zone == zone]
        ready = [b for b in own if b.is_ready]
        if 2 * len(ready) < len(own):
            ready = own if ready else \
                [b for b in self.balancers if b.is_ready] or own
        key = f"{packet.src}:{packet.sport}:{packet.dst}:{packet.dport}:"
        return max(ready, key=lambda b: zlib.crc32((key + b.name).encode()) *
                   2654435761 % (1 << 32)).address

    def flow_open(self, host, key):
        self.open_flows[key] = host
        self.record.line(f"flow {key[0]}:{key[1]} to {key[2]}:{key[3]} is open "
                         f"at host {host.id}")

    def flow_closed(self, host, key):
        self.open_flows.pop(key, None)

    def reset_received(self, flow, by_system):
        host = self.open_flows.get(flow.key)
        self.record.line(f"caller {flow.key[0]}:{flow.key[1]} gets a reset of "
                         f"{'the system' if by_system else 'a host'}, its flow "
                         f"is {flow.state}"
                         f"{', at host ' + host.id if host else ''}")
        self.resets.append((self.record.now(), flow, by_system, host,
                            flow.state))

    async def stop(self, keep=False):
        for task in self.tasks:
            task.cancel()
        for balancer in self.balancers:
            if balancer.process and balancer.process.poll() is None:
                balancer.process.send_signal(signal.SIGCONT)
                balancer.process.terminate()
        for balancer in self.balancers:
            if not balancer.process:
                continue
            try:
                balancer.process.wait(6)
            except subprocess.TimeoutExpired:
                balancer.process.kill()
                balancer.process.wait()
        for host in self.hosts:
            host.stop()
        if os.environ.get("KEEP_LOGS") or keep:
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route_entry(index, address, port, service):
    return {"name": f"r-{index:07x}", "host": address, "prefix": f"/{port}/",
            "routeType": "safe", "timeoutMs": 3000, "targetLatencyMs": 250,
            "priority": 2, "service": service, "maxAttempts": 2}


def configuration(version, routes, services, idle_timeout_ms=15000):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health",
                          "maxConns": 2000, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_timeout_ms}}


def main(case, folder):
    """Runs a case: 0 if the rule held, 1 if not, 2 if the case could not run."""
    # Ends the balancers as well: the loop is cancelled, and cases clean up.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        if not os.path.exists(PROGRAM[0]):
            raise CannotRun("the build of the deploy file is missing")
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
        record.line("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    except Exception as error:  # a fault of the stand-ins breaks no rule
        record.line(f"the case could not run: {error!r}")
        status = 2
    record.close()
    return status
