# 300 limiters whose firms cause more counter calls than 16 quota counters can serve. Each counter has the capacity of the
# platform's. The script itself sets one counter.
scenario(
    name = "counters",
    scale = scale(limiters = 300, nodes = 2000, firms = 100000, one_offs = 0),
    seconds = 6, warm = 2,
    firms = firms(heavy = 0.5, heavy_x = [2, 5], skew = 0.3),
    counter = counter(count = 1, per_second = 660, parts = 1, waiting = 64, timeout_ms = 30),
)
