load("_ferreira.star", "ferreira")

about("Discovery is down for 30 s; nothing else happens")
ferreira()
failure("discovery_down", at = "10s", length = "30s")
expect(service = "at least 97%")
