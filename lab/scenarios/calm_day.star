load("_ferreira.star", "ferreira")

about("A calm day")
ferreira()
expect(service = "at least 97%", attempts = "at most 1.3", crossings = "at most 20%")
