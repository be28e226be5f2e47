"""Phases of a move, as recorded in the replicated state."""

WAITING = "waiting"
TRIAL = "trial"
RAMP = "ramp"
WATCH = "watch"
COMPARE = "compare"
ENDED = "ended"
