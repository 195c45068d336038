"""Decisions on queueing, placement, migration, retries and refusal of calls.

Nothing in this package does I/O. Each decision is a function of a view, which holds all
inputs, and returns a typed result, in some cases with the reason for it. A "run" is one
generation on one engine, and memory is the KV memory of an engine, counted in tokens.
"""
