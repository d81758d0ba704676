load("_ferreira.star", "ferreira")

about("A third of the hosts drain, go and come back cold")
ferreira()
failure("drain", at = "10s", length = "10s", percent = 33)
expect(service = "at least 90%", pressure = "at most 1")
