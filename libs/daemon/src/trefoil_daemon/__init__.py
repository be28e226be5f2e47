"""The daemons: circuits components that carry what the cores decide."""
