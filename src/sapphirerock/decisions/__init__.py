"""Decisions on how work waits, is placed, moved, repeated and turned away.

Nothing here reads or writes anything: a decision gets a view of what is known
and returns a typed answer with the inputs that decided it.
"""
