"""Command-line entry points, one module for each command."""
