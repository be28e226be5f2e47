"""Words shared by every trefoilroute library: clock, effects, findings."""
