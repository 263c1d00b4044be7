"""Clients and the routers in front of the balancers."""

import asyncio
import hashlib
import itertools
import random
import time

from packets import ACK, FIN, RST, SYN, Packet, decode

SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_END_S = 1.4
RETRANSMISSION_S = 0.2
RETRANSMISSION_MAX_S = 1.6


class Router:
    """Chooses a balancer in rotation by a steady hash of the flow."""

    def __init__(self, world, fleet):
        self.world, self.fleet = world, fleet

    async def poll(self, balancer):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(balancer.address,
                                        self.fleet.ports.ready), 0.4)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def watch(self, balancer):
        while True:
            if await self.poll(balancer):
                balancer.misses = 0
                if not balancer.is_ready:
                    self.world.record(f"balancer {balancer.name}: in rotation")
                balancer.is_ready = True
            else:
                balancer.misses += 1
                if balancer.misses == 2 and balancer.is_ready:
                    self.world.record(f"balancer {balancer.name}: out")
                if balancer.misses >= 2:
                    balancer.is_ready = False
            await asyncio.sleep(0.5)

    def start(self):
        return [asyncio.ensure_future(self.watch(balancer))
                for balancer in self.fleet.balancers]

    def choose(self, zone, key):
        local = [b for b in self.fleet.balancers if b.zone == zone]
        ready = [b for b in local if b.is_ready]
        if 2 * len(ready) < len(local) and ready:
            ready = local
        if not ready:
            ready = [b for b in self.fleet.balancers if b.is_ready]
        return max(ready, default=None, key=lambda b: hashlib.md5(
            f"{key}{b.address}".encode()).digest())


class ClientFlow:
    def __init__(self, client, port, destination, destination_port):
        self.client, self.port = client, port
        self.destination, self.destination_port = destination, destination_port
        self.sequence = random.getrandbits(32)
        self.acknowledgement = 0
        self.echo = 0
        self.is_open = False
        self.is_ended = False
        self.ended_by = None  # address that sent a reset
        self.event = asyncio.Event()
        self.answers = []
        self.opened_at = self.sent_at = 0.0
        self.balancer = None
        self.is_host_closing = False

    def send(self, flags, data=b"", acknowledgement=None):
        client = self.client
        key = (client.address, self.port, self.destination,
               self.destination_port)
        balancer = client.balancer or client.world.router.choose(client.zone,
                                                                key)
        if not balancer:
            return
        self.balancer = balancer
        packet = Packet(client.address, self.port, self.destination,
                        self.destination_port, flags, self.sequence,
                        self.acknowledgement if acknowledgement is None
                        else acknowledgement,
                        0 if flags & SYN else self.echo, data)
        client.transport.sendto(packet.encode(),
                                (balancer.address, client.world.ports.packets))

    async def wait(self, seconds):
        self.event.clear()
        try:
            await asyncio.wait_for(self.event.wait(), max(seconds, 0.001))
        except asyncio.TimeoutError:
            pass

    async def open(self):
        start = time.monotonic()
        self.sent_at = start
        for copy, at in enumerate(SYN_TIMES_S):
            self.send(SYN, acknowledgement=copy)
            end = SYN_TIMES_S[copy + 1] if copy + 1 < len(SYN_TIMES_S) \
                else SYN_END_S
            while not self.is_open and not self.is_ended and \
                    time.monotonic() < start + end:
                await self.wait(start + end - time.monotonic())
            if self.is_open or self.is_ended:
                break
        if self.is_open:
            self.send(ACK)
        return self.is_open and not self.is_ended

    async def request(self, data, deadline_s):
        """Returns the answer, or None."""
        start, delay = time.monotonic(), RETRANSMISSION_S
        first = self.sequence
        while True:
            self.sequence = first
            self.send(ACK, data)
            self.sequence = first + len(data)
            until = min(time.monotonic() + delay, start + deadline_s)
            while not self.answers and not self.is_ended and \
                    time.monotonic() < until:
                await self.wait(until - time.monotonic())
            if self.answers:
                answer = self.answers.pop(0)
                self.send(ACK)
                return answer
            if self.is_ended or time.monotonic() >= start + deadline_s:
                return None
            delay = min(2 * delay, RETRANSMISSION_MAX_S)

    def close(self):
        if self.is_open and not self.is_ended:
            self.send(FIN | ACK)
        self.is_ended = True
        self.client.flows.pop(self.port, None)

    def handle(self, packet, sender):
        if packet.flags & RST:
            self.ended_by = sender
            if not self.is_ended:
                self.client.world.on_reset(self, packet, sender)
            self.is_ended = True
        elif packet.flags & SYN:
            if not self.is_open:
                self.sequence += 1
                self.acknowledgement = packet.sequence + 1
                self.echo = packet.echo
                self.is_open = True
                self.opened_at = time.monotonic()
        elif packet.data and \
                packet.sequence == self.acknowledgement & 0xffffffff:
            self.acknowledgement += len(packet.data)
            self.echo = packet.echo
            self.answers.append(packet.data)
            if b"Connection: close" in packet.data:
                self.is_host_closing = True
        elif packet.data:
            self.send(ACK)
        self.event.set()


class Client(asyncio.DatagramProtocol):
    ids = itertools.count(1)

    def __init__(self, world, zone, address):
        self.world, self.zone, self.address = world, zone, address
        self.balancer = None  # to send directly to this one
        self.flows = {}
        self.ports = itertools.cycle(range(1024, 60000))
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.ports.packets))

    def datagram_received(self, data, sender):
        packet = decode(data)
        flow = self.flows.get(packet.destination_port) if packet else None
        if flow:
            flow.handle(packet, sender[0])

    async def connect(self, destination, destination_port):
        flow = ClientFlow(self, next(self.ports), destination,
                          destination_port)
        self.flows[flow.port] = flow
        self.world.on_connect(flow)
        if await flow.open():
            return flow
        flow.close()
        return None

    async def ask(self, flow, method, deadline_s):
        """One request on an open flow; returns its id and the answer."""
        request_id = f"q{next(self.ids)}"
        data = (f"{method} /r HTTP/1.1\r\nHost: s\r\n"
                f"X-Request-Id: {request_id}\r\n\r\n").encode()
        self.world.record(f"sent {request_id} {method} port {flow.port}")
        answer = await flow.request(data, deadline_s)
        if answer is None:
            self.world.record(f"no answer {request_id}")
        else:
            self.world.record(f"answered {request_id} "
                              f"{answer[9:12].decode()}")
            if answer.startswith(b"HTTP/1.1 200") and f"\r\n\r\n{request_id} by ".encode() not in answer:
                self.world.on_wrong_answer(request_id, answer)
        return request_id, answer
