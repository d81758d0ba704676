load("_sofia.star", "sofia")

about("A calm day in two halls, with load by probes and talk between dispatchers")
sofia()
traffic(16)
expect(service = "at least 95%", attempts = "at most 1.2", pressure = "at most 100%")
