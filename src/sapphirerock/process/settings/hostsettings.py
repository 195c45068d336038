"""Settings of one host: a JSON file, validated before any service starts."""

from dataclasses import dataclass

import orjson
from expression import Error, Ok

from sapphirerock.version.faults import Schema, SettingsError, SettingsFault
from sapphirerock.version.schema import DIGEST, NAME, SECONDS, URL

PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
IP_ADDRESS = {"type": "string", "pattern": "^[0-9]{1,3}([.][0-9]{1,3}){3}$"}
PEER_KEY_MIN_CHARS = 16
OPTIONAL_FIELDS = (
    "peer_listen_port",
    "drain_bound_s",
    "journal",
    "memory_mb",
    "max_files",
    "max_body_bytes",
)
DEFAULT_BODY_LIMIT_BYTES = 8 << 20

PEER_SCHEMA = {
    "type": "object",
    "properties": {
        "host": NAME,
        "availability_zone": NAME,
        "region": NAME,
        "address": IP_ADDRESS,
        "caller_port": PORT,
        "peer_port": PORT,
    },
    "required": [
        "host",
        "availability_zone",
        "region",
        "address",
        "caller_port",
        "peer_port",
    ],
    "additionalProperties": False,
}

HOST_SCHEMA = Schema(
    {
        "type": "object",
        "properties": {
            **PEER_SCHEMA["properties"],
            "platform_url": URL,
            "peer_key": {"type": "string", "minLength": PEER_KEY_MIN_CHARS},
            "root_operator_sha256": DIGEST,
            "peers": {"type": "array", "items": PEER_SCHEMA},
            "peer_listen_port": PORT,
            "drain_bound_s": SECONDS,
            "journal": {"type": "boolean"},
            "memory_mb": {"type": "number", "exclusiveMinimum": 0},
            "max_files": {"type": "integer", "minimum": 1},
            "max_body_bytes": {"type": "integer", "minimum": 1},
            "logs": {
                "type": "object",
                "properties": {
                    "style": {"enum": ["text", "json"]},
                    "level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]},
                },
                "additionalProperties": False,
            },
            "tracing": {
                "type": "object",
                "properties": {
                    "exporter": {"enum": ["none", "console", "file", "otlp"]},
                    "target": {"type": "string"},
                },
                "additionalProperties": False,
            },
        },
        "required": [
            *PEER_SCHEMA["required"],
            "platform_url",
            "peer_key",
            "root_operator_sha256",
        ],
        "additionalProperties": False,
    }
)


@dataclass(slots=True, frozen=True)
class HostAddress:
    """Location of a router's host, and the address and ports to reach it."""

    host: str
    availability_zone: str
    region: str
    address: str
    caller_port: int
    peer_port: int


@dataclass(slots=True, frozen=True)
class LogSettings:
    """How a process writes its logs."""

    style: str = "text"
    level: str = "INFO"


@dataclass(slots=True, frozen=True)
class TracingSettings:
    """Where a process sends its spans."""

    exporter: str = "none"
    target: str = ""


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Settings of one process on a router's host.

    Parameters
    ----------
    address : HostAddress
        This host.
    platform_url : str
        URL of the platform's object API.
    peer_key : str
        Secret that all peers share.
    root_operator_sha256 : str
        SHA-256 of the token that may write all settings.
    peers : tuple of HostAddress
        Peers to contact first while the platform is down.
    peer_listen_port : int or None
        Port to listen on for peers, if a forwarder listens on `peer_port`.
    drain_bound_s : float
        Longest wait for running calls at a graceful shutdown, in seconds.
    journal : bool
        Whether tokens are written ahead to a journal holder.
    memory_mb : float or None
        Memory of the host, in MB; None for that of the machine.
    max_files : int or None
        Descriptors that the process may open; None for the limit of the process.
    max_body_bytes : int
        Largest body of a request, in bytes.
    logs : LogSettings
        Style and level of the logs.
    tracing : TracingSettings
        Exporter of spans and the URL or file that it writes to.
    """

    address: HostAddress
    platform_url: str
    peer_key: str
    root_operator_sha256: str
    peers: tuple = ()
    peer_listen_port: int | None = None
    drain_bound_s: float = 600.0
    journal: bool = True
    memory_mb: float | None = None
    max_files: int | None = None
    max_body_bytes: int = DEFAULT_BODY_LIMIT_BYTES
    logs: LogSettings = LogSettings()
    tracing: TracingSettings = TracingSettings()


def parse_host_settings(content):
    """Check and decode the content of a settings file.

    Parameters
    ----------
    content : bytes
        The file's JSON.

    Returns
    -------
    expression.Result of HostSettings or SettingsError
    """
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        return Error(SettingsError([SettingsFault("$", str(error), "JSON")]))
    faults = HOST_SCHEMA.find_faults(document)
    if faults:
        return Error(SettingsError(faults))
    return Ok(decode_host_settings(document))


def decode_host_settings(document):
    """Return the settings in a validated document."""
    names = PEER_SCHEMA["required"]
    optional = {key: document[key] for key in OPTIONAL_FIELDS if key in document}
    return HostSettings(
        address=HostAddress(*(document[name] for name in names)),
        platform_url=document["platform_url"],
        peer_key=document["peer_key"],
        root_operator_sha256=document["root_operator_sha256"],
        peers=tuple(HostAddress(**peer) for peer in document.get("peers", ())),
        logs=LogSettings(**document.get("logs", {})),
        tracing=TracingSettings(**document.get("tracing", {})),
        **optional,
    )


def read_host_settings(path):
    """Read, check and decode a settings file.

    Returns
    -------
    expression.Result of HostSettings or SettingsError
    """
    try:
        with open(path, "rb") as stream:
            return parse_host_settings(stream.read())
    except OSError as error:
        return Error(SettingsError([SettingsFault("$", repr(error), "a file")]))
