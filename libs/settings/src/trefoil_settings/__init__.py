"""Parsing and validation of settings and configuration documents in YAML."""
