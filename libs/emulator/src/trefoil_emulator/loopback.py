"""Loopback addresses and ports that nothing else on the machine takes.

A port is reserved long before its process binds it, and is free again while
the process is down. Until then it is kept from others in two ways: each
process that runs fleets has a loopback network of its own, and reserved ports
lie outside the range from which the kernel chooses.
"""

import functools
import pathlib
import socket

EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_PORT = 10_000
# The second byte of the addresses; the first ones are left to other programs.
NETWORKS = range(64, 256)
IPS_PER_BLOCK = 250
# No host has this address, so that a claim takes no port of a host.
CLAIM_HOST = "255.254"
CLAIM_PORT = FIRST_PORT - 1

next_ports: dict[str, int] = {}


class OutOfPorts(Exception):
    """No network, or no port of an address, is left."""


@functools.cache
def claim() -> socket.socket:
    """Claim a network for this process until it ends.

    Returns:
        The bound socket that holds the claim.

    Raises:
        OutOfPorts: Other processes hold all networks.
    """
    for network in NETWORKS:
        sock = socket.socket()
        try:
            sock.bind((f"127.{network}.{CLAIM_HOST}", CLAIM_PORT))
        except OSError:
            sock.close()
            continue
        return sock
    raise OutOfPorts("every loopback network is claimed")


def host_ip(number: int) -> str:
    """Return the address of a host in this process's network.

    Outgoing connections use 127.0.0.1, so they take no port of a host.

    Args:
        number: Number of the host, from 0.
    """
    network = claim().getsockname()[0].split(".")[1]
    block, position = divmod(number, IPS_PER_BLOCK)
    return f"127.{network}.{block}.{position + 1}"


def first_ephemeral_port() -> int:
    """Return the first of the ports from which the kernel chooses."""
    return int(EPHEMERAL_RANGE.read_text("ascii").split()[0])


def free_ports(count: int, ip: str) -> list[int]:
    """Return free ports of an address that were not returned before.

    Args:
        count: Number of ports.
        ip: The address, one that ``host_ip`` returned.

    Raises:
        OutOfPorts: Too few ports are left.
    """
    ports: list[int] = []
    for port in range(next_ports.get(ip, FIRST_PORT), first_ephemeral_port()):
        if len(ports) == count:
            break
        next_ports[ip] = port + 1
        if _is_free(ip, port):
            ports.append(port)
    if len(ports) < count:
        raise OutOfPorts(f"{ip} has no {count} free ports left")
    return ports


def _is_free(ip: str, port: int) -> bool:
    """Return whether nothing listens there, at all addresses for instance."""
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True
