"""Agreement between control processes, after Raft (Ongaro, 2014)."""
