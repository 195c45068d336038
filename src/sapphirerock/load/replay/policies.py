"""The policies that a replay can compare, by name."""

from sapphirerock.decisions.placement import PLACEMENTS
from sapphirerock.load.replay.simulation import ReplayPolicy

POLICIES = {name: ReplayPolicy(name) for name in PLACEMENTS}
POLICIES["no copies"] = ReplayPolicy(has_copies=False)
POLICIES["no health"] = ReplayPolicy(has_health=False)
POLICIES["no admission"] = ReplayPolicy(has_admission=False)
