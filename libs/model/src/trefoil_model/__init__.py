"""Types shared by all trefoilroute libraries: clocks, effects, findings."""
