"""Engines and upstreams: registration, monitoring, selection and admission."""
