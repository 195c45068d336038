"""The shared platform's wire, settings file and configuration, translated.

Nothing outside this package spells a name of the platform's, and nothing in it
decides anything.
"""
