"""The fleet core: host membership and distribution of the configuration."""
