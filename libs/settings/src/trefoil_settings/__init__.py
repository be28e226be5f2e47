"""Settings and configuration documents in YAML, checked as a whole."""
