"""Emulated targets and fleets, and a load generator, for tests and benches."""
