"""Validation of domains, services, leaves and routes."""

from __future__ import annotations

import ipaddress
import math
import re

from collections import Counter
from typing import TYPE_CHECKING

from cactussaddle_core.config.faults import Fault

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.model import Leaf
    from cactussaddle_core.config.model import Route
    from cactussaddle_core.config.model import Service

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
NAME_RULE = (
    "a name has letters, digits, '.', '_', '-', at most 100, and starts with a letter or digit"
)
MAX_PORT = 65535


def check_parts(doc: ConfigDoc) -> list[Fault]:
    """Check all sections except the moves."""
    faults = [*check_names("domains", [domain["name"] for domain in doc["domains"]])]
    faults += check_names("services", [service["name"] for service in doc["services"]])
    faults += check_names("leaves", [leaf["name"] for leaf in doc["leaves"]])
    faults += check_names("routes", [route["name"] for route in doc["routes"]])
    for domain in doc["domains"]:
        if not domain["region"].strip():
            faults.append(Fault(f"domains[{domain['name']}].region", "is empty"))
    for service in doc["services"]:
        faults += check_service(service)
    faults += check_leaves("leaves", doc["leaves"], doc)
    faults += check_addresses("leaves", doc["leaves"])
    for route in doc["routes"]:
        faults += check_route(route, {service["name"] for service in doc["services"]})
    return faults


def check_names(part: str, names: Iterable[str]) -> list[Fault]:
    """Check that names are well-formed and unique."""
    counts = Counter(names)
    faults = []
    for name, count in counts.items():
        if not NAME.fullmatch(name):
            faults.append(Fault(f"{part}[{name}].name", f"bad name {name!r}: {NAME_RULE}"))
        if count > 1:
            faults.append(Fault(f"{part}[{name}].name", f"is there {count} times"))
    return faults


def check_service(service: Service) -> list[Fault]:
    """Check the capacity settings of a service's leaves."""
    key = f"services[{service['name']}]"
    faults = []
    if service["slots"] < 1:
        faults.append(Fault(f"{key}.slots", f"must be at least 1, not {service['slots']}"))
    if service["connections"] < 1:
        reason = f"must be at least 1, not {service['connections']}"
        faults.append(Fault(f"{key}.connections", reason))
    if not is_finite(service["connect_ms"]) or service["connect_ms"] < 0:
        reason = f"must be 0 or more, not {service['connect_ms']}"
        faults.append(Fault(f"{key}.connect_ms", reason))
    cold = service.get("cold_slots", 1)
    if not 1 <= cold <= max(service["slots"], 1):
        faults.append(Fault(f"{key}.cold_slots", f"must be from 1 to slots, not {cold}"))
    return faults


def check_leaves(part: str, leaves: list[Leaf], doc: ConfigDoc) -> list[Fault]:
    """Check each leaf's service, domain, version and address."""
    services = {service["name"] for service in doc["services"]}
    domains = {domain["name"] for domain in doc["domains"]}
    faults = []
    for leaf in leaves:
        key = f"{part}[{leaf['name']}]"
        if leaf["service"] not in services:
            faults.append(Fault(f"{key}.service", f"no service {leaf['service']!r}"))
        if leaf["domain"] not in domains:
            faults.append(Fault(f"{key}.domain", f"no failure domain {leaf['domain']!r}"))
        if not leaf["version"].strip():
            faults.append(Fault(f"{key}.version", "is empty"))
        if not is_address(leaf["address"]):
            reason = f"bad address {leaf['address']!r}: an IP number and port such as 10.0.0.1:8000"
            faults.append(Fault(f"{key}.address", reason))
    return faults


def check_addresses(part: str, leaves: list[Leaf]) -> list[Fault]:
    """Check that no two leaves have the same address."""
    holders: dict[str, str] = {}
    faults = []
    for leaf in leaves:
        holder = holders.setdefault(leaf["address"], leaf["name"])
        if holder != leaf["name"]:
            reason = f"{leaf['address']} is the address of leaf {holder} too"
            faults.append(Fault(f"{part}[{leaf['name']}].address", reason))
    return faults


def check_route(route: Route, services: set[str]) -> list[Fault]:
    """Check a route's services, priority, deadline and coverage."""
    key = f"routes[{route['name']}]"
    faults = []
    if not route["services"]:
        faults.append(Fault(f"{key}.services", "is empty"))
    for name, count in Counter(route["services"]).items():
        if name not in services:
            faults.append(Fault(f"{key}.services", f"no service {name!r}"))
        if count > 1:
            faults.append(Fault(f"{key}.services", f"{name} is there {count} times"))
    if route["priority"] < 0:
        faults.append(Fault(f"{key}.priority", f"must be 0 or more, not {route['priority']}"))
    if route["deadline_ms"] < 1:
        reason = f"must be at least 1, not {route['deadline_ms']}"
        faults.append(Fault(f"{key}.deadline_ms", reason))
    if not 0 <= route["min_coverage"] <= 1:
        reason = f"must be from 0 to 1, not {route['min_coverage']}"
        faults.append(Fault(f"{key}.min_coverage", reason))
    return faults


def is_finite(value: float) -> bool:
    """Return whether a number is neither infinite nor NaN."""
    return math.isfinite(value)


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        return False
    if ":" in host and not (host.startswith("[") and host.endswith("]")):
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT
