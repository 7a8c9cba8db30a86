# A hall fails with its limiters and the quota counter, and comes back cold.
scenario(
    name = "hall-lost",
    seconds = 70,
    faults = [fault(kind = "hall", at = 20, part = 1, hall = 0, lasts = 16)],
    bounds = bounds(worth = 0.5),
)
