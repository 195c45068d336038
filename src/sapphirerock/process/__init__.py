"""What lives as long as the process: tables, stores, budgets, commands."""
