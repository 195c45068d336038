"""One immutable version of all settings, as a request uses it."""

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
    """Everything that the settings say at one version.

    Parameters
    ----------
    horizon : int
        Highest version of the platform's store that it covers.
    organisations : OrganisationIndex
        Customers by key.
    services : dict of str to ServiceSettings
        Services by name.
    routes : dict of str to tuple of Route
        Routes by model.
    operators : tuple of Operator
        Who may write where.
    placements : tuple of VersionedSettings
        What engines are to hold.
    """

    horizon: int
    organisations: OrganisationIndex
    services: dict
    routes: dict
    operators: tuple
    placements: tuple

    def find_route(self, model, organisation):
        """Return the first route of a model that admits an organisation."""
        for route in self.routes.get(model, ()):
            if route.admits(organisation) and route.service in self.services:
                return route
        return None

    def find_operator(self, token, also):
        """Return the operator with a token, or None, in constant time.

        Parameters
        ----------
        token : str
            What the operator sent.
        also : Operator
            One more operator, who stands in no settings.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for operator in (also, *self.operators):
            if hmac.compare_digest(operator.token_sha256, digest):
                found = operator
        return found

    def find_dangling_references(self, settings):
        """Return names that a settings object refers to and nothing defines."""
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
    """Build snapshots; index organisations anew only when they changed."""

    __slots__ = ("_organisation_versions", "_index")

    def __init__(self):
        self._organisation_versions = None
        self._index = OrganisationIndex(())

    def build(self, horizon, objects, groups):
        """Return a snapshot.

        Parameters
        ----------
        horizon : int
            Version that the objects cover.
        objects : iterable of VersionedSettings
            All objects that stand but groups of organisations, by path.
        groups : list of OrganisationGroup
            Groups of organisations, by path.
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
