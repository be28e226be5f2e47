"""The operators' language: each line is a query or a command."""
