"""Decisions on queueing, placement, migration, retries and refusal of calls.

Nothing in this package does I/O. A decision takes a view with all of its inputs and
returns a typed result, where useful with the reason for it.
"""
