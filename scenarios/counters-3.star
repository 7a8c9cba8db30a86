# Four quota counters for 3 limiters whose firms flood.
scenario(
    name = "counters-3",
    scale = scale(limiters = 3, nodes = 20, firms = 800, one_offs = 0),
    seconds = 30, warm = 2,
    firms = firms(heavy = 0.5, heavy_x = [2, 5]),
    counter = counter(count = 4, per_second = 660, parts = 1, waiting = 64, timeout_ms = 30),
)
