"""Durable state of a control process: hard state, log and snapshot."""
