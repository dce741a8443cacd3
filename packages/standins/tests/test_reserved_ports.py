"""Reserved ports remain available to their server."""

import pathlib
import socket

import pytest

from lagoonrun_standins import reserved_ports

HOST = "127.0.0.1"


def test_port_is_outside_the_ephemeral_range():
    """A server that binds to port 0 must not get a reserved port.

    Both sockets set `SO_REUSEADDR`, so the system could assign it, and the
    server for which it was reserved could not listen.
    """
    path = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    first_ephemeral = int(path.read_text().split()[0])
    assert reserved_ports.reserve(HOST) < first_ephemeral


def test_two_reservations_differ_and_the_port_can_be_listened_on():
    ports = {reserved_ports.reserve(HOST) for _ in range(20)}
    assert len(ports) == 20
    with socket.socket() as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind((HOST, ports.pop()))
        server.listen()


def test_port_that_another_listens_on_is_not_reserved(monkeypatch):
    with socket.socket() as server:
        server.bind((HOST, 0))
        server.listen()
        taken = server.getsockname()[1]
        monkeypatch.setattr(
            reserved_ports.random, "randint", lambda a, b: taken
        )
        with pytest.raises(OSError, match="no port free"):
            reserved_ports.reserve(HOST)
