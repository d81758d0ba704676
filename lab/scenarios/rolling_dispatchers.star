load("_ferreira.star", "ferreira")

about("All dispatchers are restarted, one after the other")
ferreira()
[failure("crash", at = "%ds" % (10 + 8 * i), length = "1s", percent = 1) for i in range(3)]
expect(service = "at least 94%")
