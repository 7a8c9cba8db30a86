# Every nine seconds a tenth of the nodes drains and is replaced by new ones, which start cold.
scenario(
    name = "rolling-replacement",
    seconds = 70,
    faults = [fault(kind = "drain", at = 6 + 9 * k, part = 0.1) for k in range(6)],
    bounds = bounds(worth = 0.85),
)
