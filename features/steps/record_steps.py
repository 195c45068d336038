"""Steps on immutable records."""

import math
import sys
from dataclasses import astuple, dataclass, field, fields, replace
from functools import partial

from behave import given, then, when

from sapphirerock.records import record

NAMESPACE = {
    "astuple": astuple,
    "fields": fields,
    "nan": math.nan,
    "replace": replace,
}


def define_classes(decorate):
    """Return classes that differ only in their decorator, by name."""

    @decorate
    class Make:
        """Fields with and without defaults, one of them derived."""

        a: int
        b: int = 2
        c: list = field(default_factory=list)
        sums: list = field(default_factory=list, repr=False)

        def __post_init__(self):
            self.sums.append(self.b)

        @property
        def sum(self):
            return self.a + self.sums[0]

    @decorate
    class Single:
        """One field."""

        a: object

    @decorate
    class Empty:
        """No field."""

    @decorate
    class Failure(Exception):
        """An exception."""

        cause: str

    @decorate
    class Derived(Make):
        """A class with another's fields."""

    classes = (Make, Single, Empty, Failure, Derived)
    return {cls.__name__.lower(): cls for cls in classes}


def raise_and_catch(error):
    """Return what is caught when an error is raised through a context manager."""
    try:
        raise error
    except type(error) as caught:
        return repr(caught), caught.__traceback__ is not None


def evaluate(operation, classes):
    """Return the result of an operation, or the type of the error that it raises."""
    namespace = {**NAMESPACE, **classes, "raise_and_catch": raise_and_catch}
    try:
        return eval(operation, namespace)
    except Exception as error:
        return type(error)


@given("a record and a frozen dataclass with the same fields and defaults")
def define_both(context):
    frozen = partial(dataclass, slots=True, frozen=True)
    context.variants = [define_classes(decorate) for decorate in (record, frozen())]


@when("this is done with each: {operation}")
def operate(context, operation):
    context.outcomes = [evaluate(operation, item) for item in context.variants]


@then("the outcome is the same")
def check_outcomes(context):
    of_record, of_dataclass = context.outcomes
    assert of_record == of_dataclass, context.outcomes


@given("a class of {count:d} annotated fields")
def define_fields(context, count):
    annotations = {f"field_{number}": int for number in range(count)}
    context.body = {
        "__annotations__": annotations,
        "__doc__": "Fields.",
        "__module__": __name__,
    }


@when("it is made a record")
def make_record(context):
    events = []
    is_counting = True

    def count(event, arguments):
        if is_counting and event == "compile":
            events.append(event)

    # Python can't remove the hook again.
    sys.addaudithook(count)
    try:
        record(type("Fields", (), context.body))
    finally:
        is_counting = False
    context.compilations = len(events)


@then("Python has compiled {count:d} piece of source")
def check_compilations(context, count):
    assert context.compilations == count, context.compilations
