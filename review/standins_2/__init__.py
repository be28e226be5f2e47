"""Stand-ins for the platform, upstreams, clients and the operator."""
