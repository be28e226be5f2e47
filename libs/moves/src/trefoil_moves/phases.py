"""Phases of a move, as they stand in the agreed state."""

WAITING = "waiting"
TRIAL = "trial"
RAMP = "ramp"
WATCH = "watch"
COMPARE = "compare"
ENDED = "ended"
