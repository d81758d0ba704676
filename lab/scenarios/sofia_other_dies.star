load("_sofia.star", "sofia")

about("One of two dispatchers dies for 5 s: the other takes the whole load, and the fresh one is not held to a trickle")
sofia(dispatchers = (1, 1))
traffic(14)
failure("crash", at = "15s", length = "5s", percent = 50)
expect(service = "at least 92%", worst_window = "at least 60%")
