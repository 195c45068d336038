"""Names of the platform's protocols: paths, kinds of stored objects, headers."""

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "SAPPHIREROCK_BOOT"

READINESS_PATH = "/sapphirerock/readiness"
REPORT_PATH = "/sapphirerock/report"
MOVE_PATH = "/sapphirerock/kv-move"
OBJECTS_PATH = "/sapphirerock/objects"

STORE_ERA = "Store-Era"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENGINES_KIND = "servers"
ROLLOUTS_KIND = "rollouts"
# Kinds that routers define: addresses of the routers, settings of operators, claims on
# orders, leases, requests that are blocked because they crash engines, software
# versions of engines, and origins of streams.
ROUTERS_KIND = "sapphirerock-routers"
SETTINGS_KIND = "sapphirerock-settings"
CLAIMS_KIND = "sapphirerock-claims"
LEASES_KIND = "sapphirerock-leases"
BLOCKED_REQUESTS_KIND = "sapphirerock-blocked-requests"
ENGINE_VERSIONS_KIND = "sapphirerock-engine-versions"
STREAM_ORIGINS_KIND = "sapphirerock-stream-origins"

ATTEMPT_ID = "Sapphirerock-Attempt-Id"
DEADLINE = "Sapphirerock-Deadline-Ms"
EXPECTED_INSTANCE = "Sapphirerock-Expect-Instance"
INSTANCE = "Sapphirerock-Instance-Id"
ORGANISATION = "Sapphirerock-Tenant"
RESPONSE_SEAL = "Sapphirerock-Response-Seal"
NOT_EXECUTED = "Sapphirerock-Not-Executed"
ENGINE_LOAD = "Sapphirerock-Server-Load"
REQUEST_LIMIT = "Server-Limit"
# Seconds for which an engine that turns a request away wants none from this host.
RETRY_AFTER = "Retry-After"
# In all responses of an engine that is about to end.
LEAVING = "Server-Leaving"
# Number of requests that the engine may turn away in a second before it crashes.
REFUSAL_TOLERANCE = "Server-Brittle"
TOKEN_USAGE = "Sapphirerock-Token-Usage"
PROMPT_PARTS = "Sapphirerock-Prompt-Prefix"
MODEL = "Sapphirerock-Model"
KV_BACKUP = "Sapphirerock-Kv-Backup"
KV_SOURCE = "Kv-From"
LAST_EVENT_ID = "Last-Event-Id"
# From 0, which engines admit first, to 9; 5 without the header.
URGENCY = "Sapphirerock-Request-Urgency"
# Attempt that brought the first event of a stream which its caller takes up.
RESUMED_ATTEMPT_ID = "Resumes"

AUTHORIZATION = "Authorization"
KEY_SCHEME = "Token "

# Headers that routers exchange with engines. They are dropped from callers' requests.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_INSTANCE,
        INSTANCE,
        ORGANISATION,
        RESPONSE_SEAL,
        NOT_EXECUTED,
        ENGINE_LOAD,
        REQUEST_LIMIT,
        REFUSAL_TOLERANCE,
        LEAVING,
        KV_BACKUP,
        KV_SOURCE,
        "Kv-Fetch",
        URGENCY,
        "Sapphirerock-Expect-Version",
        "Sapphirerock-Pin-Ms",
        "Sapphirerock-Hold",
    )
)
# Headers from engines to routers. They are dropped from responses to callers.
ENGINE_ONLY_HEADERS = frozenset(
    name.lower()
    for name in (
        INSTANCE,
        NOT_EXECUTED,
        ENGINE_LOAD,
        REQUEST_LIMIT,
        REFUSAL_TOLERANCE,
        LEAVING,
    )
)
