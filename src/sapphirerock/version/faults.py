"""What is wrong with a document of settings, field by field."""

from dataclasses import dataclass

import fastjsonschema
from jsonschema import Draft202012Validator

VALUE_PREVIEW_CHARS = 80
# The compiled check knows drafts up to this one; the schemas use no later words.
DRAFT = "http://json-schema.org/draft-07/schema#"
SECRET_FIELDS = ("peer_key",)


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


def is_secret(error):
    """Return whether an error is about a field that must not be shown."""
    return bool(error.path) and error.path[-1] in SECRET_FIELDS


def describe_value(error):
    """Return the value that is at fault, unless it is secret."""
    return "a hidden value" if is_secret(error) else shorten_value(error.instance)


def describe_expectation(error):
    """Return what the schema asks for."""
    if is_secret(error):
        return f"{error.validator} {error.validator_value}"
    return error.message


def shorten_value(value):
    """Return a value as text that fits on a line."""
    text = repr(value)
    if len(text) <= VALUE_PREVIEW_CHARS:
        return text
    return text[:VALUE_PREVIEW_CHARS] + "…"


class Schema:
    """A JSON schema that documents are checked against.

    A compiled check lets good documents pass quickly; the faults of others are
    found by the slower validator that names every field.

    Parameters
    ----------
    definition : dict
        The schema.
    """

    __slots__ = ("definition", "_accepts")

    def __init__(self, definition):
        self.definition = definition
        self._accepts = fastjsonschema.compile({"$schema": DRAFT, **definition})

    def find_faults(self, document):
        """Return every fault of a document, in the order of the fields."""
        try:
            self._accepts(document)
        except fastjsonschema.JsonSchemaException:
            return find_faults(self.definition, document)
        return []


def find_faults(definition, document):
    """Return every fault of a document against a JSON schema, in field order."""
    errors = Draft202012Validator(definition).iter_errors(document)
    faults = [
        SettingsFault(
            error.json_path, describe_value(error), describe_expectation(error)
        )
        for error in errors
    ]
    return sorted(faults, key=lambda fault: fault.field)
