"""JSON schemas of the settings objects that operators write."""

from sapphirerock.version.faults import Schema

NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"}
DIGEST = {"type": "string", "pattern": "^[0-9a-f]{64}$"}
SECONDS = {"type": "number", "exclusiveMinimum": 0}
URL = {"type": "string", "pattern": "^http://[0-9.]+:[0-9]+$"}


def make_object_schema(kind, properties, required):
    """Return the schema of one kind of settings object."""
    return {
        "type": "object",
        "properties": {"kind": {"const": kind}, **properties},
        "required": ["kind", *required],
        "additionalProperties": False,
    }


def make_list_schema(properties, required):
    """Return the schema of a list of objects."""
    return {
        "type": "array",
        "items": {
            "type": "object",
            "properties": properties,
            "required": required,
            "additionalProperties": False,
        },
    }


OPERATORS = make_object_schema(
    "operators",
    {
        "operators": make_list_schema(
            {
                "name": NAME,
                "token_sha256": DIGEST,
                "subtree": {"type": "string", "pattern": "^settings/([a-z0-9-]+/)*$"},
            },
            ["name", "token_sha256", "subtree"],
        )
    },
    ["operators"],
)

ORGANISATIONS = make_object_schema(
    "organisations",
    {
        "organisations": make_list_schema(
            {
                "name": NAME,
                "key_sha256": DIGEST,
                "weight": {"type": "integer", "minimum": 1, "maximum": 1000},
                "requests_per_s": {"type": "number", "exclusiveMinimum": 0},
            },
            ["name", "key_sha256"],
        )
    },
    ["organisations"],
)

UPSTREAMS = make_list_schema(
    {"name": NAME, "url": URL, "availability_zone": NAME, "region": NAME},
    ["name", "url", "availability_zone", "region"],
)

SERVICE = make_object_schema(
    "service",
    {
        "name": NAME,
        "type": {"enum": ["generation", "plain"]},
        "upstreams": UPSTREAMS,
        "recovery": {"enum": ["latency", "cost", "naive"]},
        "balancer": {"enum": ["least-wait", "least-in-flight", "round-robin"]},
        "start_deadline_s": SECONDS,
        "call_timeout_s": SECONDS,
        "hedge_after_s": SECONDS,
        "order_paths": {"type": "array", "items": {"type": "string", "minLength": 1}},
    },
    ["name", "type", "upstreams"],
)

ROUTING = make_object_schema(
    "routing",
    {
        "routes": make_list_schema(
            {
                "model": NAME,
                "service": NAME,
                "organisations": {"type": "array", "items": NAME},
                "priority": {"type": "integer", "minimum": 0, "maximum": 9},
            },
            ["model", "service"],
        )
    },
    ["routes"],
)

PLACEMENT = make_object_schema(
    "placement",
    {
        "loads_per_minute": {"type": "number", "exclusiveMinimum": 0},
        "upstreams": make_list_schema(
            {
                "upstream": NAME,
                "checks_fencing": {"type": "boolean"},
                "models": {"type": "array", "items": {"type": "string"}},
                "role": {"enum": ["mixed", "prefill", "decode"]},
                "order_delay_bound_s": SECONDS,
            },
            ["upstream", "checks_fencing", "models"],
        ),
    },
    ["upstreams"],
)

SCHEMAS = {
    "operators": Schema(OPERATORS),
    "organisations": Schema(ORGANISATIONS),
    "service": Schema(SERVICE),
    "routing": Schema(ROUTING),
    "placement": Schema(PLACEMENT),
}
