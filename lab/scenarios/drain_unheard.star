load("_ferreira.star", "ferreira")

about("Hosts drain while discovery is down")
ferreira()
failure("discovery_down", at = "10s", length = "20s")
failure("drain", at = "15s", length = "20s", percent = 20)
expect(service = "at least 85%")
