"""Process-wide parts of a router: tables, stores, budgets and services."""
