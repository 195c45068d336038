"""The commands: one module each."""
