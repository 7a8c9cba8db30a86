# Three firms twice request far more than their quotas allow.
scenario(
    name = "heavy-firm",
    faults = [fault(kind = "hot", at = t, lasts = 12, size = 0.6) for t in (12, 36)],
    bounds = bounds(worth = 0.9, over_quota = 0.05),
)
