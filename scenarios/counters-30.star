# Eight quota counters for 30 limiters whose firms flood.
scenario(
    name = "counters-30",
    scale = scale(limiters = 30, nodes = 200, firms = 10000, one_offs = 0),
    seconds = 15, warm = 2,
    firms = firms(heavy = 0.5, heavy_x = [2, 5], skew = 0.3),
    counter = counter(count = 8, per_second = 660, parts = 1, waiting = 64, timeout_ms = 30),
)
