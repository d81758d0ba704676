load("_ferreira.star", "ferreira")

about("Something that all hosts depend on makes every one of them twice as slow")
ferreira()
failure("shared_slow", at = "20s", length = "10s", times_percent = 200)
expect(service = "at least 80%")
