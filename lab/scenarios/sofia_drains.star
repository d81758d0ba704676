load("_sofia.star", "sofia")

about("A third of the hosts drain and come back cold, by lists that are late")
sofia()
traffic(12)
failure("drain", at = "15s", length = "10s", percent = 30)
run(discovery_lag = "2s")
expect(service = "at least 93%", pressure = "at most 100%")
