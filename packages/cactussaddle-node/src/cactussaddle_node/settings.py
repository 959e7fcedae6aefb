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
    Setting("listen-host", Kind.HOST, None, "IP number to listen on and to connect from"),
    Setting("http-port", Kind.PORT, "8080", "port for callers"),
    Setting("peer-port", Kind.PORT, "7070", "port for streams of other nodes"),
    Setting("advertise-peer", Kind.ADDRESS, "", "address that other nodes dial, if another"),
    Setting("store", Kind.URL, None, "base URL of the platform's key-value service"),
    Setting("host-list", Kind.URL, None, "base URL of the platform's host list"),
    Setting(
        "policy",
        Kind.CHOICE,
        PolicyName.ADAPTIVE.value,
        "how leaves are chosen and limited; baseline is for comparison only",
        choices=tuple(PolicyName),
    ),
    Setting(
        "first-wave",
        Kind.CHOICE,
        FirstWave.WHOLE.value,
        "whole: a new request goes to all services at once; staged: to one leaf first",
        choices=tuple(FirstWave),
    ),
    Setting("seed", Kind.INT, "0", "seed of random choices; 0 takes one from the system", low=0),
    Setting("stop-seconds", Kind.INT, "20", "longest graceful shutdown", low=1, high=600),
    Setting("strict", Kind.BOOL, "false", "end the process at a broken promise (for tests)"),
    Setting("log-level", Kind.CHOICE, "info", "least level logged", choices=LEVELS),
)


class NodeSettings(NamedTuple):
    """The checked settings; `advertise_peer` is `ip:port`."""

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
    """Return typed settings from the parsed values."""
    given = values["advertise_peer"]
    host, port = (
        given if isinstance(given, Address) else (values["listen_host"], values["peer_port"])
    )
    advertised = f"{host}:{port}"
    typed = {
        **values,
        "advertise_peer": advertised,
        "policy": PolicyName(str(values["policy"])),
        "first_wave": FirstWave(str(values["first_wave"])),
    }
    return NodeSettings(**typed)  # type: ignore[arg-type]
