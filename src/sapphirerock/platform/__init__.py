"""Translation of the shared platform's protocols, settings file and configuration.

The platform's own names occur only in this package, which makes no decisions.
"""
