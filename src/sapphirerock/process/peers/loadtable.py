"""Loads of engines as several sources reported them, and their sums."""

from collections import defaultdict

from sapphirerock.process.engines.table import EngineLoadCell

# The loads of a host or zone that has sent no report for this time are dropped.
SOURCE_EXPIRY_S = 8.0
NO_LOAD = EngineLoadCell()


class LoadTable:
    """Loads by source and engine, and their sum by engine."""

    __slots__ = ("_cells", "_updated_at_s", "_totals")

    def __init__(self):
        self._cells = defaultdict(dict)
        self._updated_at_s = {}
        self._totals = {}

    def apply_report(self, source, cells, now_s):
        """Apply a source's report on some engines; return the engines' names."""
        self._updated_at_s[source] = now_s
        source_cells = self._cells[source]
        for engine, *numbers in cells:
            self._replace(source_cells, engine, numbers)
        return {cell[0] for cell in cells}

    def _replace(self, source_cells, engine, numbers):
        """Replace a source's load of an engine, and update the engine's sum."""
        total = self._totals.setdefault(engine, EngineLoadCell())
        previous = source_cells.pop(engine, None)
        if previous is not None:
            total.subtract(previous)
        if any(numbers):
            source_cells[engine] = cell = EngineLoadCell(*numbers)
            total.add(cell)
        elif not any(total.to_numbers()):
            del self._totals[engine]

    def drop_source(self, source):
        """Drop the loads of a source; return the engines that it loaded."""
        self._updated_at_s.pop(source, None)
        source_cells = self._cells.pop(source, {})
        engines = set(source_cells)
        for engine in engines:
            self._replace(source_cells, engine, ())
        return engines

    def drop_all(self):
        """Drop the loads of all sources; return the engines that were loaded."""
        affected = set()
        for source in list(self._cells):
            affected |= self.drop_source(source)
        return affected

    def drop_silent_sources(self, now_s):
        """Drop sources without a recent report; return the engines that they loaded."""
        affected = set()
        for source, updated_at_s in list(self._updated_at_s.items()):
            if now_s - updated_at_s > SOURCE_EXPIRY_S:
                affected |= self.drop_source(source)
        return affected

    def sum_engine(self, engine):
        """Return the sum of an engine's loads over all sources."""
        return self._totals.get(engine, NO_LOAD)

    def get(self, source, engine):
        """Return the load that a source has placed on an engine, or None."""
        return self._cells.get(source, {}).get(engine)

    def list_engines(self):
        """Return the engines that any source has loaded."""
        return self._totals.keys()

    def list_loaded_by(self, source):
        """Return the engines that a source has loaded."""
        return self._cells.get(source, {}).keys()
