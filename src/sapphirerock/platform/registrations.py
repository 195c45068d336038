"""Decoding of the registrations that engines write to the store."""

from ipaddress import IPv4Address

from expression import Error, Ok

from sapphirerock.version.engineentry import EngineEntry
from sapphirerock.version.faults import SettingsError, SettingsFault

MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
# Up to which floating-point numbers hold whole milliseconds exactly.
MAX_BORN_MS = 1 << 53
MAX_TEXT_CHARACTERS = 1_000
MAX_FAULT_CHARACTERS = 200
# What decoding of a document by others may raise.
DECODING_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    IndexError,
)
DRAINING_BY_STATE = {"ready": False, "draining": True}
# Fields that are kept of a registration, as anyone may add others of any size.
USED_FIELDS = ("service", "address", "zone", "version", "slots", "state", "born")
# Field in place of all others of an odd registration: why it names no engine.
FAULT_FIELD = "fault"


def check_integer(name, value, lowest, highest):
    """Raise TypeError or ValueError unless a value is an integer within bounds."""
    if type(value) is not int:
        raise TypeError(f"{name} must be an integer")
    if not lowest <= value <= highest:
        raise ValueError(f"{name} must be from {lowest} to {highest}")


def decode_address(text):
    """Return an address of the form ``ip:port`` that can be connected to.

    Raises
    ------
    TypeError, ValueError
        The text is malformed.
    """
    address, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()):
        raise ValueError(f"no port in address {text!r:.80}")
    check_integer("port", int(port[:10]), 1, MAX_PORT)
    return f"{IPv4Address(address)}:{int(port)}"


def decode_registration(name, spec):
    """Decode an engine's registration in the store.

    Anyone can write registrations, so each field is checked.

    Returns
    -------
    expression.Result of EngineEntry or SettingsError
    """
    try:
        return Ok(_decode_fields(name, spec))
    except DECODING_ERRORS as error:
        return Error(
            SettingsError(
                [SettingsFault("$", repr(error)[:200], "an engine registration")]
            )
        )


def trim_registration(name, spec):
    """Return what hosts keep of a registration, and send to each other.

    Hosts that do not trim registrations decode the result alike.

    Returns
    -------
    dict
        The fields that `decode_registration` uses, or why it is odd.
    """
    if isinstance(spec, dict) and spec.keys() == {FAULT_FIELD}:
        return {FAULT_FIELD: str(spec[FAULT_FIELD])[:MAX_FAULT_CHARACTERS]}
    decoded = decode_registration(name, spec)
    if decoded.is_error():
        return {FAULT_FIELD: str(decoded.error)[:MAX_FAULT_CHARACTERS]}
    return {field: spec[field] for field in USED_FIELDS if field in spec}


def _decode_fields(name, spec):
    if spec.keys() == {FAULT_FIELD}:
        raise ValueError(spec[FAULT_FIELD])
    if not spec:
        raise ValueError("no content that can be read")
    service, zone, slots = spec["service"], spec["zone"], spec["slots"]
    version = spec["version"]
    if not all(isinstance(text, str) for text in (service, zone, version)):
        raise TypeError("service, zone and version must be strings")
    if max(len(service), len(zone), len(version)) > MAX_TEXT_CHARACTERS:
        raise ValueError("service, zone or version is too long")
    check_integer("slots", slots, 1, MAX_SLOTS)
    born_ms = spec.get("born", 0)
    check_integer("born", born_ms, 0, MAX_BORN_MS)
    models = spec.get("models") or ()
    if not isinstance(models, list | tuple):
        raise TypeError("models must be a list")
    for model in models:
        model["name"]
    return EngineEntry(
        name=name,
        service=service,
        address=decode_address(spec["address"]),
        availability_zone=zone,
        slots=slots,
        is_draining=DRAINING_BY_STATE[spec["state"]],
        born_ms=born_ms,
        version=version,
    )
