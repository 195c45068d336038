"""Validation of JSON documents against schemas, with a fault for each invalid field."""

from dataclasses import dataclass

VALUE_PREVIEW_CHARS = 80
# The latest draft that fastjsonschema supports. The schemas use no later keywords.
DRAFT = "http://json-schema.org/draft-07/schema#"
SECRET_FIELDS = ("peer_key",)


@dataclass(slots=True, frozen=True)
class SettingsFault:
    """One invalid field.

    Parameters
    ----------
    field : str
        JSON path of the field, ``$`` for the whole document.
    value : str
        The invalid value, shortened.
    expected : str
        Description of a valid value.
    """

    field: str
    value: str
    expected: str

    def __str__(self):
        return f"{self.field}: got {self.value}, expected {self.expected}"


class SettingsError(Exception):
    """Invalid settings, with every fault found.

    Parameters
    ----------
    faults : list of SettingsFault
        The faults, at least one.
    """

    def __init__(self, faults):
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = list(faults)


def is_secret(error):
    """Return whether an error is about a field whose value must not be shown."""
    return bool(error.path) and error.path[-1] in SECRET_FIELDS


def describe_value(error):
    """Return the invalid value as text, or a placeholder if it is secret."""
    return "a hidden value" if is_secret(error) else shorten_value(error.instance)


def describe_expectation(error):
    """Return what the schema requires.

    For a secret field this is the violated schema keyword, since the validator's
    message contains the value.
    """
    if is_secret(error):
        return f"{error.validator} {error.validator_value}"
    return error.message


def shorten_value(value):
    """Return a value as text, truncated to `VALUE_PREVIEW_CHARS`."""
    text = repr(value)
    if len(text) <= VALUE_PREVIEW_CHARS:
        return text
    return text[:VALUE_PREVIEW_CHARS] + "…"


class Schema:
    """A JSON schema that validates documents.

    A compiled validator checks each document. If it finds a document invalid, a slower
    validator, which reports every invalid field, checks it again. The validators are
    loaded and compiled on first use, since most processes use few of the schemas and
    a start must not take long.

    Parameters
    ----------
    definition : dict
        The JSON schema.
    """

    __slots__ = ("definition", "_validate")

    def __init__(self, definition):
        self.definition = definition
        self._validate = None

    def find_faults(self, document):
        """Return every fault of a document, sorted by field."""
        import fastjsonschema

        if self._validate is None:
            self._validate = fastjsonschema.compile(
                {"$schema": DRAFT, **self.definition}
            )
        try:
            self._validate(document)
        except fastjsonschema.JsonSchemaException:
            return find_faults(self.definition, document)
        return []


def find_faults(definition, document):
    """Return every fault of a document against a JSON schema, sorted by field."""
    from jsonschema import Draft202012Validator

    errors = Draft202012Validator(definition).iter_errors(document)
    faults = [
        SettingsFault(
            error.json_path, describe_value(error), describe_expectation(error)
        )
        for error in errors
    ]
    return sorted(faults, key=lambda fault: fault.field)
