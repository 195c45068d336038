"""Positions of the parts of a JSON text, found without decoding them.

The text may hold what no decoder reads: unpaired surrogates, control characters, any
depth. Regular expressions find the ends of values, so that neither time nor memory
depends much on what the text holds. Their quantifiers are possessive: others keep a
position to go back to for each character of a string.
"""

import re
from array import array
from dataclasses import dataclass
from itertools import accumulate

import orjson

# Key of a shape for all elements of an array.
EACH = ...
# Values that are nested more deeply are measured by `_find_deep_end`.
MAX_PATTERN_DEPTH = 12

# Patterns for texts without escapes, in which each quote begins or ends a string.
SPACE = re.compile(rb"\s*+")
STRING = re.compile(rb'"[^"]*+"')
MEMBER_NAME = re.compile(rb'("[^"]*+")\s*+:\s*+')
SEPARATOR = re.compile(rb"\s*+([,\]}])\s*+")
# Strings without control characters.
READABLE = re.compile(rb'(?:[^"]++|"[^"\x00-\x1f]*+")*+')
# Escapes of half a surrogate pair, which stand for no character.
UNPAIRED_SURROGATE = re.compile(
    rb"\\u[dD][89abAB]..(?!\\u[dD][c-fC-F])"
    rb"|(?<!\\u[dD][89abAB]..)\\u[dD][c-fC-F]",
    re.DOTALL,
)
# Whole strings and other characters, about a kilobyte of them unless strings are long.
CHUNK = re.compile(rb'(?:[^"]{1,64}+|"[^"]*+"){1,16}+')


def _make_value_pattern(depth):
    """Return the pattern of a value with up to `depth` levels within its own."""
    flat = rb'[^\]\[{}"]++|"[^"]*+"'
    inside = b"(?:" + flat + b")*+"
    for _ in range(depth):
        inside = b"(?:" + flat + rb"|[\[{]" + inside + rb"[\]}])*+"
    return rb'"[^"]*+"|[^\]\[{}",:\s]++|[\[{]' + inside + rb"[\]}]"


def _make_depth_steps():
    """Return the table that maps a character to its step in depth, as a signed byte."""
    steps = bytearray(256)
    for opening, closing in (b"[]", b"{}"):
        steps[opening], steps[closing] = DEEPER[0], SHALLOWER[0]
    return bytes(steps)


DEEPER, SHALLOWER = b"\x01", b"\xff"
DEPTH_STEPS = _make_depth_steps()
VALUE = re.compile(_make_value_pattern(MAX_PATTERN_DEPTH))


@dataclass(slots=True, frozen=True)
class JsonPart:
    """Position of a value in a JSON text.

    Parameters
    ----------
    start, end : int
        The value is the text from `start` up to before `end`.
    parts : dict of str to JsonPart, list of JsonPart, or None
        Members or elements; None for those that are not located.
    """

    start: int
    end: int
    parts: object = None

    def get_text(self, body):
        """Return the value's text, given the whole text."""
        return body[self.start : self.end]


def mask_escapes(body):
    """Return a text of the same length in which no backslash precedes a quote."""
    return body.replace(b"\\\\", b"__").replace(b'\\"', b"__")


def is_readable(text):
    """Return whether the strings of a JSON text stand for characters."""
    masked = mask_escapes(text)
    if UNPAIRED_SURROGATE.search(masked) or not READABLE.fullmatch(masked):
        return False
    try:
        text.decode()
    except UnicodeDecodeError:
        return False
    return True


def locate_parts(body, shape):
    """Locate parts of a JSON text.

    Parameters
    ----------
    body : bytes
        The text.
    shape : dict
        Describes the parts to locate: an empty one the members of an object, one with
        `EACH` the elements of an array, of the shape that is its value. Shapes of an
        object's members may be given by their names.

    Returns
    -------
    JsonPart
        The document.

    Raises
    ------
    ValueError
        The text is malformed, as far as it is looked at.
    """
    text = mask_escapes(body)
    document = _locate(body, text, SPACE.match(text).end(), shape)
    if SPACE.match(text, document.end).end() != len(text):
        raise ValueError("text goes on after its document")
    return document


def _locate(body, text, start, shape):
    opening = text[start : start + 1]
    if shape is not None and opening == (b"[" if EACH in shape else b"{"):
        return _locate_parts(body, text, start, shape)
    return JsonPart(start, _find_end(text, start))


def _locate_parts(body, text, start, shape):
    """Locate the parts of the object or array that begins at `start`."""
    members, elements = {}, []
    position = SPACE.match(text, start + 1).end()
    if text[position : position + 1] in (b"]", b"}"):
        return JsonPart(start, position + 1, elements if EACH in shape else members)
    while True:
        if EACH in shape:
            part = _locate(body, text, position, shape[EACH])
            elements.append(part)
        else:
            found = MEMBER_NAME.match(text, position)
            if not found:
                raise ValueError("malformed member of an object")
            name = orjson.loads(body[found.start(1) : found.end(1)])
            part = members[name] = _locate(body, text, found.end(), shape.get(name))
        separator = SEPARATOR.match(text, part.end)
        if not separator:
            raise ValueError("no comma after a part of an object or array")
        if separator[1] != b",":
            parts = elements if EACH in shape else members
            return JsonPart(start, separator.end(1), parts)
        position = separator.end()


def _find_end(text, start):
    """Return the position after the value that begins at `start`."""
    found = VALUE.match(text, start)
    if found:
        return found.end()
    if text[start : start + 1] not in (b"[", b"{"):
        raise ValueError("no value where one is due")
    return _find_deep_end(text, start)


def _find_deep_end(text, start):
    """Return the position after an object or array of any depth."""
    depth = 0
    while start < len(text):
        chunk = CHUNK.match(text, start)
        if not chunk:
            break
        steps = STRING.sub(b"", chunk[0]).translate(DEPTH_STEPS)
        closings = steps.count(SHALLOWER)
        if 0 < depth <= closings or depth == 0:
            end = _find_end_within(chunk[0], depth)
            if end is not None:
                return start + end
        depth += steps.count(DEEPER) - closings
        start = chunk.end()
    raise ValueError("text ends within an object or array")


def _find_end_within(chunk, depth):
    """Return the position in a chunk at which a depth is left for 0, or None."""
    blanked = STRING.sub(lambda string: b" " * len(string[0]), chunk)
    steps = array("b", blanked.translate(DEPTH_STEPS))
    depths = bytes(map(bool, accumulate(steps, initial=depth)))
    end = depths.find(0, 1)
    return None if end < 0 else end
