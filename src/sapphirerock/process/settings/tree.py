"""A tree of settings files, as kept in version control."""

from dataclasses import dataclass
from pathlib import Path

import orjson

from sapphirerock.version.faults import SettingsFault
from sapphirerock.version.objects import VersionedSettings, decode_settings
from sapphirerock.version.snapshot import SnapshotBuilder

FILE_SUFFIX = ".json"
# Kinds of settings in the order to apply them: a kind comes after those that it
# refers to.
APPLY_ORDER = ("operators", "organisations", "service", "routing", "placement")


@dataclass(slots=True, frozen=True)
class SettingsFile:
    """One file of the tree.

    Parameters
    ----------
    path : str
        Path of the object below ``settings/``.
    document : dict or None
        Content; None if it is not valid JSON.
    fault : str
        Error of the JSON decoder; empty if the content is valid JSON.
    """

    path: str
    document: dict | None
    fault: str = ""

    @property
    def rank(self):
        """Position of the file's kind in `APPLY_ORDER`; unknown kinds come last."""
        kind = self.document.get("kind") if isinstance(self.document, dict) else ""
        return APPLY_ORDER.index(kind) if kind in APPLY_ORDER else len(APPLY_ORDER)


def read_tree(folder):
    """Return all files below a folder, in the order in which to apply them."""
    root = Path(folder)
    files = [read_file(root, path) for path in sorted(root.rglob("*" + FILE_SUFFIX))]
    return sorted(files, key=lambda item: (item.rank, item.path))


def read_file(root, path):
    """Return one file of the tree."""
    name = path.relative_to(root).with_suffix("").as_posix()
    try:
        return SettingsFile(name, orjson.loads(path.read_bytes()))
    except orjson.JSONDecodeError as error:
        return SettingsFile(name, None, str(error))


def validate_tree(files):
    """Return (path, fault) for each fault in a tree."""
    found, decoded = [], []
    for item in files:
        if item.document is None:
            found.append((item.path, SettingsFault("$", item.fault, "JSON")))
            continue
        result = decode_settings(item.document)
        if result.is_error():
            found.extend((item.path, fault) for fault in result.error.faults)
        else:
            decoded.append((item.path, result.ok))
    return found + find_dangling_references(decoded)


def find_dangling_references(decoded):
    """Return (path, fault) for each reference to a name that the tree lacks."""
    snapshot = SnapshotBuilder().build(0, [as_versioned(item) for item in decoded], [])
    found = []
    for path, settings in decoded:
        for name in snapshot.find_dangling_references(settings):
            expected = "a name that the tree defines"
            found.append((path, SettingsFault("$", repr(name), expected)))
    return found


def as_versioned(item):
    """Return a decoded file as input of `SnapshotBuilder`."""
    path, settings = item
    return VersionedSettings(path, 0, settings)
