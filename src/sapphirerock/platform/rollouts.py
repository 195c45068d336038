"""Decoding and encoding of the operators' orders of rollouts."""

from expression import Error, Ok

from sapphirerock.connection.storeobjects import STATUS_FIELD
from sapphirerock.decisions.rollout import RolloutOrder, RolloutState
from sapphirerock.platform.registrations import DECODING_ERRORS, MAX_TEXT_CHARACTERS
from sapphirerock.version.faults import SettingsError, SettingsFault

# A longer rollout is taken as a mistake.
MAX_DURATION_S = 30 * 24 * 3600.0
STATES = {state.value: state for state in RolloutState}


def decode_rollout(name, content):
    """Decode an order and its status.

    Returns
    -------
    expression.Result of RolloutOrder or SettingsError
    """
    try:
        return Ok(_decode_order(name, content))
    except DECODING_ERRORS as error:
        fault = SettingsFault("$", repr(error)[:200], "an order of a rollout")
        return Error(SettingsError([fault]))


def _decode_order(name, content):
    service, target = content["service"], content["target"]
    duration_s = content["duration_s"]
    if not all(isinstance(text, str) for text in (service, target)):
        raise TypeError("service and target must be strings")
    if service != name:
        raise ValueError(f"order of {service!r:.80} under the name {name!r:.80}")
    if not 0 < len(target) <= MAX_TEXT_CHARACTERS:
        raise ValueError("target is empty or too long")
    if type(duration_s) not in (int, float) or not 0 < duration_s <= MAX_DURATION_S:
        raise ValueError("duration_s must be a number of seconds above 0")
    status, state = content.get(STATUS_FIELD), None
    # A status for another target is that of an earlier order.
    if isinstance(status, dict) and status.get("target") == target:
        state = STATES.get(status.get("state"))
    return RolloutOrder(service, target, float(duration_s), state)


def encode_rollout_status(target, state):
    """Return the status of a rollout."""
    return {"state": state.value, "target": target}
