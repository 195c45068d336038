"""Policies that a replay can compare, by name."""

from sapphirerock.decisions.placement import PLACEMENTS
from sapphirerock.load.replay.simulation import ReplayPolicy

POLICIES = {name: ReplayPolicy(name) for name in PLACEMENTS}
POLICIES["no copies"] = ReplayPolicy(uses_kv_copies=False)
POLICIES["no health"] = ReplayPolicy(excludes_outliers=False)
POLICIES["no first engine"] = ReplayPolicy(prefers_first_engine=False)
POLICIES["no pace"] = ReplayPolicy("rivals", uses_pace=False)
POLICIES["no admission"] = ReplayPolicy(uses_admission=False)
