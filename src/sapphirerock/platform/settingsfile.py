"""Decoding of the settings file that the shared platform writes for a router."""

import orjson
from expression import Error, Ok

from sapphirerock.decisions.duties import HostCapacity
from sapphirerock.process.settings.hostprofile import (
    Endpoint,
    HostProfile,
    ServiceBounds,
    StoreAccess,
    parse_endpoint,
)
from sapphirerock.version.faults import SettingsError, SettingsFault

MS_PER_S = 1000.0


def read_profile(path):
    """Read and decode a settings file.

    Returns
    -------
    expression.Result of HostProfile or SettingsError
    """
    try:
        with open(path, "rb") as stream:
            return decode_profile(stream.read())
    except OSError as error:
        return Error(SettingsError([SettingsFault("$", repr(error), "a file")]))


def decode_profile(content):
    """Decode the content of a settings file; unknown fields are ignored.

    Parameters
    ----------
    content : bytes
        JSON.

    Returns
    -------
    expression.Result of HostProfile or SettingsError
    """
    try:
        return Ok(_decode_document(orjson.loads(content)))
    except KeyError as error:
        return Error(
            SettingsError([SettingsFault(f"$.{error.args[0]}", "nothing", "a value")])
        )
    except (TypeError, ValueError, AttributeError) as error:
        return Error(SettingsError([SettingsFault("$", repr(error), "host settings")]))


def _decode_document(document):
    listen = document["listen"]
    return HostProfile(
        host=document["node"],
        availability_zone=document["zone"],
        region=document["region"],
        address=document["ip"],
        caller_endpoint=parse_endpoint(listen["front"]),
        readiness_endpoint=parse_endpoint(listen["ready"]),
        peer_endpoint=_choose_peer_endpoint(document, listen),
        seeds=tuple(parse_endpoint(seed) for seed in document.get("seeds") or ()),
        store=_decode_store(document["platform"]),
        bounds=_decode_bounds(document.get("bounds") or {}),
        regions=dict(document.get("zones") or {}),
        capacity=_decode_capacity(document.get("limits") or {}),
        max_files=_decode_max_files(document.get("limits") or {}),
    )


def _choose_peer_endpoint(document, listen):
    """Return the endpoint for peers, by default the first port of the port range."""
    # `control` is the address that peers connect to and that `seeds` lists.
    if "control" in listen:
        return parse_endpoint(listen["control"])
    return Endpoint(document["ip"], document["port_range"][0])


def _decode_store(entry):
    return StoreAccess(
        endpoint=parse_endpoint(entry["address"]),
        writes_per_s=float(entry["writes_per_s"]),
        reads_per_s=float(entry["reads_per_s"]),
        history_s=float(entry["history_s"]),
        value_bytes=int(entry["value_bytes"]),
    )


def _decode_capacity(entry):
    if not {"cpu_share", "memory_mb", "link_mbps"} <= entry.keys():
        return None
    return HostCapacity(
        # `cpu_share` is a share of one core, which is `cores` times as fast as usual.
        cores=float(entry["cpu_share"]) * float(entry.get("cores") or 1),
        memory_mb=float(entry["memory_mb"]),
        link_mbps=float(entry["link_mbps"]),
    )


def _decode_max_files(entry):
    return int(entry["max_fds"]) if entry.get("max_fds") else None


def _decode_share(value):
    return None if value is None else float(value)


def _decode_bounds(entry):
    default = ServiceBounds()
    return ServiceBounds(
        grace_s=float(entry.get("grace_s", default.grace_s)),
        drain_s=entry.get("drain_ms", default.drain_s * MS_PER_S) / MS_PER_S,
        recovery_bound_s=entry.get("contact_ms", default.recovery_bound_s * MS_PER_S)
        / MS_PER_S,
        # The budget in these names is the retry budget.
        retry_ratio=float(entry.get("budget_ratio", default.retry_ratio)),
        retry_slack=float(entry.get("budget_slack", default.retry_slack)),
        retry_window_s=float(entry.get("budget_window_s", default.retry_window_s)),
        exposed_share=_decode_share(entry.get("expose_share")),
    )
