# The quota counter loses 34 %, 70 % and 98 % of its names, the last twice within five seconds, while three firms flood.
scenario(
    name = "counter-flushed",
    faults = [fault(kind = "hot", at = 8, lasts = 45, size = 0.4)] +
             [fault(kind = "flush", at = t, part = p) for t, p in ((12, 0.34), (24, 0.7), (36, 0.98), (40, 0.98))],
    bounds = bounds(worth = 0.85, over_quota = 0.06),
)
