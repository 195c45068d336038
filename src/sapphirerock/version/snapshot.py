"""Immutable snapshots of all settings, each of one version of the store."""

import hashlib
import hmac
from dataclasses import dataclass

from sapphirerock.version.objects import (
    OperatorList,
    PlacementSettings,
    RoutingSettings,
    ServiceSettings,
)
from sapphirerock.version.organisations import OrganisationIndex


@dataclass(slots=True, frozen=True)
class Snapshot:
    """All settings at one version of the store.

    Parameters
    ----------
    horizon : int
        Highest store version that the snapshot includes.
    organisations : OrganisationIndex
        Organisations by key.
    services : dict of str to ServiceSettings
        Services by name.
    routes : dict of str to tuple of ModelRoute
        Routes by model.
    operators : tuple of Operator
        All operators.
    placements : tuple of VersionedSettings
        Placements of all teams, with path and version.
    """

    horizon: int
    organisations: OrganisationIndex
    services: dict
    routes: dict
    operators: tuple
    placements: tuple

    def find_route(self, model, organisation):
        """Return the first route of a model that admits an organisation, or None.

        Routes to services that are not defined are skipped.
        """
        for route in self.routes.get(model, ()):
            if route.admits(organisation) and route.service in self.services:
                return route
        return None

    def find_operator(self, token, extra_operator):
        """Return the operator with a token, or None.

        The duration does not reveal which operator matches.

        Parameters
        ----------
        token : str
            Token that the operator sent.
        extra_operator : Operator
            Operator who is not in the settings, such as the root operator.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for operator in (extra_operator, *self.operators):
            if hmac.compare_digest(operator.token_sha256, digest):
                found = operator
        return found

    def find_dangling_references(self, settings):
        """Return the names in a settings object that no service or upstream has."""
        if isinstance(settings, RoutingSettings):
            names = {route.service for route in settings.routes}
            return sorted(names - self.services.keys())
        if isinstance(settings, PlacementSettings):
            names = {placed.upstream for placed in settings.upstreams}
            return sorted(names - self._collect_upstream_names())
        return []

    def _collect_upstream_names(self):
        return {
            upstream.name
            for service in self.services.values()
            for upstream in service.upstreams
        }


class SnapshotBuilder:
    """Builds snapshots; reuses the index of organisations while these are unchanged."""

    __slots__ = ("_organisation_versions", "_index")

    def __init__(self):
        self._organisation_versions = None
        self._index = OrganisationIndex(())

    def build(self, horizon, objects, groups):
        """Return a snapshot.

        Parameters
        ----------
        horizon : int
            Highest store version that the objects include.
        objects : iterable of VersionedSettings
            All current objects except groups of organisations, sorted by path.
        groups : list of OrganisationGroup
            All groups of organisations, sorted by path.
        """
        by_kind = {}
        for item in objects:
            by_kind.setdefault(type(item.settings), []).append(item)
        return Snapshot(
            horizon=horizon,
            organisations=self._index_organisations(groups),
            services=collect_services(by_kind.get(ServiceSettings, ())),
            routes=collect_routes(by_kind.get(RoutingSettings, ())),
            operators=collect_operators(by_kind.get(OperatorList, ())),
            placements=tuple(by_kind.get(PlacementSettings, ())),
        )

    def _index_organisations(self, groups):
        versions = [(group.path, group.version) for group in groups]
        if versions != self._organisation_versions:
            self._organisation_versions = versions
            self._index = OrganisationIndex(group.organisations for group in groups)
        return self._index


def collect_services(items):
    """Return services by name."""
    return {item.settings.name: item.settings for item in items}


def collect_routes(items):
    """Return routes by model, in the order of their paths."""
    routes = {}
    for item in items:
        for route in item.settings.routes:
            routes.setdefault(route.model, []).append(route)
    return {model: tuple(found) for model, found in routes.items()}


def collect_operators(items):
    """Return all operators."""
    return tuple(operator for item in items for operator in item.settings.operators)
