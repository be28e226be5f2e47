"""The operators' language: one line a command."""
