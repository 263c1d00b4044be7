"""The packet of the platform: a head of 32 bytes, then the data."""

import socket
import struct
from dataclasses import dataclass

HEAD = struct.Struct(">IHIIIBBIHHI")
SYN, ACK, FIN, RST = 4, 2, 128, 8
# Ends write a keyed sum; any value but 0 stands for it here.
SUM = 0xA1B2C3D5
DATA_MAX = 1200


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


@dataclass
class Packet:
    source: str
    source_port: int
    destination: str
    destination_port: int
    flags: int
    sequence: int = 0
    acknowledgement: int = 0
    echo: int = 0
    data: bytes = b""
    sum: int = SUM

    def encode(self):
        return HEAD.pack(self.sum, len(self.data), self.sequence & 0xffffffff,
                         self.acknowledgement & 0xffffffff, self.echo,
                         self.flags, 0, number(self.destination),
                         self.destination_port, self.source_port,
                         number(self.source)) + self.data


def decode(data):
    if len(data) < HEAD.size:
        return None
    (total, length, sequence, acknowledgement, echo, flags, _, destination,
     destination_port, source_port, source) = HEAD.unpack(data[:HEAD.size])
    if length != len(data) - HEAD.size:
        return None
    return Packet(text(source), source_port, text(destination),
                  destination_port, flags, sequence, acknowledgement, echo,
                  data[HEAD.size:], total)
