"""Durable state of a control process: promises, log and snapshot."""
