"""What is wrong with a document of settings, field by field."""

from dataclasses import dataclass

from jsonschema import Draft202012Validator

VALUE_PREVIEW_CHARS = 80


@dataclass(slots=True, frozen=True)
class SettingsFault:
    """One refused field.

    Parameters
    ----------
    field : str
        Path of the field in the document, ``$`` for the whole.
    value : str
        What stood there, shortened.
    expected : str
        What was expected in its place.
    """

    field: str
    value: str
    expected: str

    def __str__(self):
        return f"{self.field}: got {self.value}, expected {self.expected}"


class SettingsError(Exception):
    """Settings that can't be taken, with every fault found.

    Parameters
    ----------
    faults : list of SettingsFault
        At least one.
    """

    def __init__(self, faults):
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = list(faults)


def shorten_value(value):
    """Return a value as text that fits on a line."""
    text = repr(value)
    if len(text) <= VALUE_PREVIEW_CHARS:
        return text
    return text[:VALUE_PREVIEW_CHARS] + "…"


def find_faults(schema, document):
    """Return every fault of a document against a JSON schema, in field order."""
    errors = Draft202012Validator(schema).iter_errors(document)
    faults = [
        SettingsFault(error.json_path, shorten_value(error.instance), error.message)
        for error in errors
    ]
    return sorted(faults, key=lambda fault: fault.field)
