"""Stand-ins of the platform, its upstreams, clients and operator."""
