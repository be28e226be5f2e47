"""Emulated targets, fleets of hosts and a load generator.

They are used by tests, benches and demos.
"""
