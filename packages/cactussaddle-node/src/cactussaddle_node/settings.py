"""Settings of the node daemon."""

from __future__ import annotations

from typing import NamedTuple

from cactussaddle_common.logs import LEVELS
from cactussaddle_common.settings import Kind
from cactussaddle_common.settings import Setting
from cactussaddle_common.values import Address
from cactussaddle_core.node.state import FirstWave
from cactussaddle_core.node.state import PolicyName

SETTINGS = (
    Setting("node-name", Kind.TEXT, None, "unique name of this node"),
    Setting("domain", Kind.TEXT, None, "failure domain of this host"),
    Setting("listen-host", Kind.HOST, None, "IP address to listen on and to connect from"),
    Setting("http-port", Kind.PORT, "8080", "port for callers"),
    Setting("peer-port", Kind.PORT, "7070", "port for connections from other nodes"),
    Setting(
        "advertise-peer", Kind.ADDRESS, "", "address that other nodes connect to, if different"
    ),
    Setting("store", Kind.URL, None, "base URL of the platform's key-value store"),
    Setting("host-list", Kind.URL, None, "base URL of the platform's host list"),
    Setting(
        "policy",
        Kind.CHOICE,
        PolicyName.ADAPTIVE.value,
        "how leaves are selected and limited; baseline is for comparison only",
        choices=tuple(PolicyName),
    ),
    Setting(
        "first-wave",
        Kind.CHOICE,
        FirstWave.WHOLE.value,
        "whole: send a new request to all services at once; staged: to one leaf first",
        choices=tuple(FirstWave),
    ),
    Setting("seed", Kind.INT, "0", "seed of random choices; 0 takes a random seed", low=0),
    Setting(
        "stop-seconds", Kind.INT, "20", "maximum time for a graceful shutdown", low=1, high=600
    ),
    Setting("strict", Kind.BOOL, "false", "end the process when a promise is broken (for tests)"),
    Setting("log-level", Kind.CHOICE, "info", "minimum level of log lines", choices=LEVELS),
)


class NodeSettings(NamedTuple):
    """The validated settings; `advertise_peer` is `ip:port`."""

    node_name: str
    domain: str
    listen_host: str
    http_port: int
    peer_port: int
    advertise_peer: str
    store: str
    host_list: str
    policy: PolicyName
    first_wave: FirstWave
    seed: int
    stop_seconds: int
    strict: bool
    log_level: str


def node_settings(values: dict[str, object]) -> NodeSettings:
    """Convert parsed values to typed settings."""
    configured = values["advertise_peer"]
    host, port = (
        configured
        if isinstance(configured, Address)
        else (values["listen_host"], values["peer_port"])
    )
    peer_address = f"{host}:{port}"
    typed = {
        **values,
        "advertise_peer": peer_address,
        "policy": PolicyName(str(values["policy"])),
        "first_wave": FirstWave(str(values["first_wave"])),
    }
    return NodeSettings(**typed)  # type: ignore[arg-type]
