load("_ferreira.star", "ferreira")

about("A fifth of the hosts run five times slower for 20 s")
ferreira()
failure("slow", at = "20s", length = "20s", percent = 20, times_percent = 500)
expect(service = "at least 94%", worst_window = "at least 80%")
