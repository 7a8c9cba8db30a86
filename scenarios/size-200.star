# 200 limiters, 2000 nodes and 30000 recurring firms, with 16000 one-off firms a second: a million firms in a minute.
scenario(name = "size-200", scale = scale(limiters = 200, nodes = 2000, firms = 30000, one_offs = 16000), seconds = 60)
