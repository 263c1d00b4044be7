"""Hosts as the pages describe them: they take flows, run each request once,
answer the client directly and announce themselves in the store."""

import asyncio
import random
import socket
import time

from packets import ACK, FIN, RST, SYN, Packet, decode

RETRANSMISSION_S = 0.2
RETRANSMISSION_MAX_S = 1.6
RETRANSMISSIONS_MAX = 8
# Connections that wait in the kernel; beyond them, it drops opening packets.
BACKLOG = 1


class HostFlow:
    def __init__(self, packet, opened_through):
        self.isn = random.getrandbits(32)
        self.sequence = self.isn + 1
        self.expected = packet.sequence + 1
        self.echo = packet.echo
        self.opened_through = opened_through
        self.is_open = False
        self.is_closing = False
        self.unacknowledged = None
        self.timer = None


class Host(asyncio.DatagramProtocol):
    def __init__(self, world, host_id, service, zone, address):
        self.world, self.id = world, host_id
        self.service, self.zone, self.address = service, zone, address
        self.number = int(host_id.split("-")[-1], 16)
        self.slots, self.queue, self.work = 3, 12, lambda: 0.04
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.busy = 0
        self.waiting = []
        self.transport = self.listener = None
        self.is_cut_off = False
        self.fillers = []
        self.drained_at = None
        self.is_alive = False
        self.runs = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        port = self.world.ports.host
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, port))
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.address, port))
        self.listener.listen(BACKLOG)
        self.listener.setblocking(False)
        loop.add_reader(self.listener, self.accept)
        self.is_alive = True
        self.announce()

    def accept(self):
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        asyncio.ensure_future(self.serve_health(connection))

    async def cut_off(self):
        """No packet and no connection comes through, in either direction."""
        self.is_cut_off = True
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener)
        # With the backlog full, the kernel ignores connections.
        for _ in range(BACKLOG + 3):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            self.fillers.append(filler)
            try:
                await asyncio.wait_for(loop.sock_connect(
                    filler, (self.address, self.world.ports.host)), 0.02)
            except (OSError, asyncio.TimeoutError):
                break
        self.world.record(f"host {self.id}: cut off")

    def rejoin(self):
        self.is_cut_off = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        asyncio.get_running_loop().add_reader(self.listener, self.accept)
        self.world.record(f"host {self.id}: reachable again")

    async def serve_health(self, connection):
        try:
            reader, writer = await asyncio.open_connection(sock=connection)
        except OSError:
            connection.close()
            return
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 Leaving"
            writer.write((f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.id}\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    def entry(self):
        return {"service": self.service,
                "address": f"{self.address}:{self.world.ports.host}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0, "sequence": 1,
                "born": self.born}

    def announce(self):
        """The store keeps the entry as it is if only the sequence differs."""
        return self.world.store.put(f"servers/{self.id}", self.entry())

    def drain(self):
        self.state = "draining"
        revision = self.announce()
        self.drained_at = time.monotonic()
        self.world.record(f"host {self.id}: draining acknowledged, "
                          f"revision {revision}")

    def leave(self):
        """Ends the process and removes its entry."""
        self.crash()
        self.world.store.delete(f"servers/{self.id}")
        self.world.record(f"host {self.id}: left")

    def crash(self):
        self.is_alive = False
        self.transport.close()
        if not self.is_cut_off:
            asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()
        for flow in self.flows.values():
            if flow.timer:
                flow.timer.cancel()
        self.flows.clear()

    # Packets

    def send(self, request, flags, sequence=0, acknowledgement=0, echo=0,
             data=b""):
        if self.is_cut_off:
            return
        packet = Packet(request.destination, request.destination_port,
                        request.source, request.source_port, flags, sequence,
                        acknowledgement, echo, data)
        self.transport.sendto(packet.encode(),
                              (request.source, self.world.ports.packets))

    def datagram_received(self, data, sender):
        if self.is_cut_off:
            return
        target = int.from_bytes(data[:8], "big")
        packet = decode(data[8:])
        if not packet or (target and target != self.number):
            return
        key = (packet.source, packet.source_port, packet.destination,
               packet.destination_port)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                return
            if not flow:
                flow = self.flows[key] = HostFlow(packet, sender[0])
                self.world.on_opening(self, packet, sender[0])
            flow.echo = packet.echo
            self.send(packet, SYN | ACK, flow.isn, flow.expected, flow.echo)
        elif not flow:
            if not packet.flags & RST:
                self.send(packet, RST, packet.acknowledgement,
                          packet.sequence, packet.echo)
                self.world.on_foreign_packet(self, packet, sender[0])
        else:
            self.handle(key, flow, packet)

    def handle(self, key, flow, packet):
        flow.echo = packet.echo
        if packet.flags & RST:
            self.close(key, flow)
            return
        if not flow.is_open and packet.acknowledgement == \
                (flow.isn + 1) & 0xffffffff:
            flow.is_open = True
            self.world.on_open(self, packet, flow)
        if flow.unacknowledged and packet.acknowledgement == \
                flow.sequence & 0xffffffff:
            flow.unacknowledged = None
            if flow.timer:
                flow.timer.cancel()
        if packet.data and packet.sequence == flow.expected & 0xffffffff:
            flow.expected += len(packet.data)
            self.take(flow, packet)
        elif packet.data and not flow.unacknowledged:
            self.send(packet, ACK, flow.sequence, flow.expected, flow.echo)
        if packet.flags & FIN:
            self.send(packet, ACK, flow.sequence, flow.expected + 1, flow.echo)
            self.close(key, flow)

    def close(self, key, flow):
        if flow.timer:
            flow.timer.cancel()
        self.flows.pop(key, None)

    def take(self, flow, packet):
        if self.busy < self.slots:
            self.run(flow, packet)
        elif len(self.waiting) < self.queue:
            self.waiting.append((flow, packet))
        else:
            self.world.count("rejected by a full host")
            self.answer(flow, packet, "503 Full", "X-Not-Executed: 1\r\n", b"")

    def run(self, flow, packet):
        self.busy += 1
        self.runs += 1
        words = packet.data.split(b"\r\n", 1)[0].decode().split()
        request_id = packet.data.split(b"X-Request-Id: ", 1)[1].split(
            b"\r\n", 1)[0].decode()
        self.world.on_run(self, request_id, words[0])
        asyncio.get_running_loop().call_later(
            self.work(), self.finish, flow, packet, request_id)

    def finish(self, flow, packet, request_id):
        self.busy -= 1
        if not self.is_alive:
            return
        if self.waiting:
            self.run(*self.waiting.pop(0))
        self.answer(flow, packet, "200 OK", f"X-Server-Stamp: {self.id}\r\n",
                    f"{request_id} by {self.id}".encode())

    def answer(self, flow, packet, status, headers, body):
        closing = "Connection: close\r\n" if self.state == "draining" else ""
        data = (f"HTTP/1.1 {status}\r\n{headers}{closing}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        start = flow.sequence
        flow.sequence += len(data)
        flow.unacknowledged = (packet, start, data)
        self.transmit(flow, 0, RETRANSMISSION_S)

    def transmit(self, flow, count, delay):
        if not flow.unacknowledged or not self.is_alive or \
                count > RETRANSMISSIONS_MAX:
            return
        packet, start, data = flow.unacknowledged
        self.send(packet, ACK, start, flow.expected, flow.echo, data)
        flow.timer = asyncio.get_running_loop().call_later(
            delay, self.transmit, flow, count + 1,
            min(2 * delay, RETRANSMISSION_MAX_S))
