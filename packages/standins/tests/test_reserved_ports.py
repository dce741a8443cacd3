"""Reserved ports stay free for whom they were reserved."""

import pathlib
import socket

import pytest

from lagoonrun_standins import reserved_ports

HOST = "127.0.0.1"


def test_port_is_given_to_nobody_who_asks_for_any():
    """A server that asks for any port gets the one reserved for another.

    Both set the option to reuse addresses; the other then cannot listen.
    """
    path = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    first_given = int(path.read_text().split()[0])
    assert reserved_ports.reserve(HOST) < first_given


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
