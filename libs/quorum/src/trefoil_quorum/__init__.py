"""Raft consensus between control processes (Ongaro, 2014)."""
