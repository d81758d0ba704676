load("_ferreira.star", "ferreira")

about("A fifth of the hosts take jobs and answer none for 20 s")
ferreira()
failure("hang", at = "20s", length = "20s", percent = 20)
expect(service = "at least 94%", failed = "at most 3%")
