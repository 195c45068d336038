"""Names on the platform's wire."""

SETTINGS_VARIABLE = "SAPPHIREROCK_BOOT"

READINESS_PATH = "/sapphirerock/readiness"
REPORT_PATH = "/sapphirerock/report"
MOVE_PATH = "/sapphirerock/kv-move"
OBJECTS_PATH = "/sapphirerock/objects"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENGINES_KIND = "servers"
# Kinds of our own: where the routers listen for each other, the operators'
# settings, claims of orders, and leases.
ROUTERS_KIND = "sapphirerock-routers"
SETTINGS_KIND = "sapphirerock-settings"
CLAIMS_KIND = "sapphirerock-claims"
LEASES_KIND = "sapphirerock-leases"

ATTEMPT_ID = "Sapphirerock-Attempt-Id"
DEADLINE = "Sapphirerock-Deadline-Ms"
EXPECTED_INSTANCE = "Sapphirerock-Expect-Instance"
INSTANCE = "Sapphirerock-Instance-Id"
ORGANISATION = "Sapphirerock-Tenant"
SEAL = "Sapphirerock-Response-Seal"
NOT_EXECUTED = "Sapphirerock-Not-Executed"
ENGINE_LOAD = "Sapphirerock-Server-Load"
TOKEN_USAGE = "Sapphirerock-Token-Usage"
PROMPT_PARTS = "Sapphirerock-Prompt-Prefix"
MODEL = "Sapphirerock-Model"
BACKUP = "Sapphirerock-Kv-Backup"
CONTINUE_FROM = "Kv-From"
LAST_EVENT_ID = "Last-Event-Id"

AUTHORIZATION = "Authorization"
KEY_SCHEME = "Token "

# What routers say to engines; the same from a client is dropped.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_INSTANCE,
        INSTANCE,
        ORGANISATION,
        SEAL,
        NOT_EXECUTED,
        ENGINE_LOAD,
        BACKUP,
        CONTINUE_FROM,
        "Kv-Fetch",
        "Sapphirerock-Request-Urgency",
        "Sapphirerock-Expect-Version",
        "Sapphirerock-Pin-Ms",
        "Sapphirerock-Hold",
    )
)
# What engines say to routers; callers are not told.
ENGINE_ONLY_HEADERS = frozenset(
    name.lower() for name in (INSTANCE, NOT_EXECUTED, ENGINE_LOAD)
)
