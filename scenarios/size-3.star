# 3 limiters, 10 nodes and 500 firms that recur.
scenario(name = "size-3", scale = scale(limiters = 3, nodes = 10, firms = 500, one_offs = 0), seconds = 60)
