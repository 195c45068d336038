"""Engines' registrations and reports."""

from expression import Error, Ok

from sapphirerock.process.settings.hostprofile import parse_endpoint
from sapphirerock.version.engineentry import EngineEntry
from sapphirerock.version.faults import SettingsError, SettingsFault

IS_LEAVING = {"ready": False, "draining": True}


def decode_registration(name, spec):
    """Decode an engine's entry in the store.

    Anybody may write entries, so each field is checked.

    Returns
    -------
    expression.Result of EngineEntry or SettingsError
    """
    try:
        return Ok(_decode(name, spec))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Error(SettingsError([SettingsFault("$", repr(error), "an engine")]))


def _decode(name, spec):
    service, zone, slots = spec["service"], spec["zone"], spec["slots"]
    if not isinstance(service, str) or not isinstance(zone, str):
        raise TypeError("service and zone are no texts")
    if not isinstance(slots, int) or slots < 1:
        raise TypeError("slots is no number of slots")
    models = spec.get("models") or ()
    return EngineEntry(
        name=name,
        service=service,
        address=str(parse_endpoint(spec["address"])),
        availability_zone=zone,
        slots=slots,
        is_leaving=IS_LEAVING[spec["state"]],
        models=tuple(model["name"] for model in models),
        born_ms=int(spec.get("born", 0)),
    )
