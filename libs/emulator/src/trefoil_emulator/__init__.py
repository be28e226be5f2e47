"""An emulator of targets, and a load tool, for tests, benches and demos."""
