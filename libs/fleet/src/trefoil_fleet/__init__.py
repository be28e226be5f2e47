"""The fleet: who is there, and the configuration that is in force."""
