"""Decoding of the operator's configuration from the store."""

from expression import Error, Ok

from sapphirerock.platform.registrations import DECODING_ERRORS
from sapphirerock.version.faults import SettingsError, SettingsFault
from sapphirerock.version.routing import (
    CallerIdentity,
    CallerLimits,
    EngineProperties,
    Route,
    RouteKind,
    RoutingVersion,
    ServiceProperties,
    ServiceShare,
)

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}
MS_PER_S = 1000.0


def decode_configuration(spec, revision):
    """Decode a configuration.

    Parameters
    ----------
    spec : object
        Content of the stored object, decoded from JSON.
    revision : int
        Revision of the stored object.

    Returns
    -------
    expression.Result of RoutingVersion or SettingsError
    """
    try:
        return Ok(_decode_version(spec, revision))
    except DECODING_ERRORS as error:
        return Error(
            SettingsError([SettingsFault("$", repr(error)[:200], "a configuration")])
        )


def _decode_version(spec, revision):
    tenants = spec.get("tenants") or ()
    return RoutingVersion(
        number=int(spec["version"]),
        revision=revision,
        routes=tuple(_decode_route(entry) for entry in spec["routes"]),
        services={entry["name"]: _decode_service(entry) for entry in spec["services"]},
        limits=_decode_limits(spec.get("limits") or {}),
        callers={
            key: CallerIdentity(entry["name"], entry.get("priority"))
            for entry in tenants
            for key in entry["api_keys"]
        },
        needs_keys=bool(tenants),
    )


def _decode_route(entry):
    shares = entry.get("split") or [{"service": entry["service"], "weight": 1}]
    kind = ROUTE_KINDS[entry["kind"]]
    timeout_s = entry.get("timeout_ms", 30_000) / MS_PER_S
    target_s = entry.get("target_latency_ms", 1000) / MS_PER_S
    return Route(
        name=entry["name"],
        host=entry["host"].lower(),
        path_prefix=entry["path_prefix"],
        kind=kind,
        shares=tuple(
            ServiceShare(share["service"], float(share["weight"])) for share in shares
        ),
        timeout_s=timeout_s,
        target_latency_s=target_s,
        target_gap_s=entry.get("target_gap_ms", target_s * MS_PER_S) / MS_PER_S,
        max_attempts=max(1, int(entry.get("max_attempts", 1))),
        priority=int(entry.get("priority", 0)),
        is_public=bool(entry.get("public", False)),
        # Despite its name, `sticky` is set for every route whose calls carry a prompt.
        has_prompt=bool(entry.get("sticky", False)),
        is_resumable=bool(entry.get("resumable", False)),
    )


def _decode_service(entry):
    engine = entry.get("engine")
    return ServiceProperties(
        name=entry["name"],
        connection_limit=int(entry.get("max_conns", 100)),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(entry):
    return EngineProperties(
        slots=int(entry["slots"]),
        memory_tokens=int(entry["kv_tokens"]),
        event_tokens=int(entry.get("stride", 1)),
        supports_backups=bool(entry.get("backups", False)),
        supports_moves=bool(entry.get("moves", False)),
        backup_ttl_s=float(entry.get("handle_s", 0.0)),
    )


def _decode_limits(entry):
    default = CallerLimits()
    header_ms = entry.get("header_timeout_ms", default.header_timeout_s * MS_PER_S)
    idle_ms = entry.get("idle_timeout_ms", default.idle_timeout_s * MS_PER_S)
    return CallerLimits(
        header_bytes=int(entry.get("max_header_bytes", default.header_bytes)),
        body_bytes=int(entry.get("max_body_bytes", default.body_bytes)),
        header_timeout_s=header_ms / MS_PER_S,
        idle_timeout_s=idle_ms / MS_PER_S,
    )
