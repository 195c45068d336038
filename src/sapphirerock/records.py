"""Immutable records: dataclasses that are cheap to make.

`dataclasses` compiles six methods of each frozen class, which takes a tenth of the
processor time of a host's start. Here one method of each class is compiled, and
closures over the fields do the work of the others.
"""

from dataclasses import MISSING, FrozenInstanceError, dataclass, fields
from operator import attrgetter
from reprlib import recursive_repr


def record(cls):
    """Make a class with annotated fields a dataclass that is frozen and has slots.

    Fields have the options of `dataclasses.field` for defaults and `repr`.
    """
    cls = dataclass(init=False, repr=False, eq=False, slots=True)(cls)
    names = tuple(item.name for item in fields(cls))
    cls.__init__ = make_initialiser(cls)
    if "__repr__" not in cls.__dict__:
        cls.__repr__ = make_representation(cls)
    cls.__eq__, cls.__hash__ = make_comparison(names)
    cls.__setattr__, cls.__delattr__ = make_guards(cls, names)
    return cls


def make_initialiser(cls):
    """Return an `__init__` that sets all fields and calls `__post_init__` if defined.

    It is compiled, since it runs whenever a record is made.
    """
    namespace = {"set_field": object.__setattr__, "MISSING": MISSING}
    parameters, lines = [], []
    for item in fields(cls):
        name, value = item.name, item.name
        default = f"_default_{name}"
        if item.default_factory is not MISSING:
            namespace[default] = item.default_factory
            parameters.append(f"{name}=MISSING")
            value = f"{default}() if {name} is MISSING else {name}"
        elif item.default is not MISSING:
            namespace[default] = item.default
            parameters.append(f"{name}={default}")
        else:
            parameters.append(name)
        lines.append(f" set_field(self, {name!r}, {value})")
    if hasattr(cls, "__post_init__"):
        lines.append(" self.__post_init__()")
    header = f"def __init__(self, {', '.join(parameters)}):"
    exec("\n".join([header, *(lines or [" pass"])]), namespace)
    initialiser = namespace["__init__"]
    initialiser.__qualname__ = f"{cls.__qualname__}.__init__"
    return initialiser


def make_representation(cls):
    """Return a `__repr__` that names the class and the fields."""
    names = tuple(item.name for item in fields(cls) if item.repr)

    @recursive_repr()
    def __repr__(self):
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
        return f"{self.__class__.__qualname__}({values})"

    return __repr__


def make_comparison(names):
    """Return `__eq__` and `__hash__` that compare the values of all fields."""
    if len(names) > 1:
        read_values = attrgetter(*names)
    else:

        def read_values(item):
            return tuple(getattr(item, name) for name in names)

    def __eq__(self, other):
        if other.__class__ is self.__class__:
            return read_values(self) == read_values(other)
        return NotImplemented

    def __hash__(self):
        return hash(read_values(self))

    return __eq__, __hash__


def make_guards(cls, names):
    """Return `__setattr__` and `__delattr__` that refuse to change a record."""

    def __setattr__(self, name, value):
        if type(self) is cls or name in names:
            raise FrozenInstanceError(f"cannot assign to field {name!r}")
        super(cls, self).__setattr__(name, value)

    def __delattr__(self, name):
        if type(self) is cls or name in names:
            raise FrozenInstanceError(f"cannot delete field {name!r}")
        super(cls, self).__delattr__(name)

    return __setattr__, __delattr__
