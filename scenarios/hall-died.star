# The processes of a hall's nodes crash and come back cold.
scenario(
    name = "hall-died",
    seconds = 60,
    faults = [fault(kind = "hall", at = 15, part = 0.4, hall = 0, lasts = 14)],
    bounds = bounds(worth = 0.6),
)
