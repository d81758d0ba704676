load("_ferreira.star", "ferreira")

about("Hosts hang while others are slow and some come back cold")
ferreira()
failure("hang", at = "15s", length = "15s", percent = 10)
failure("slow", at = "20s", length = "20s", percent = 15, times_percent = 600)
failure("drain", at = "25s", length = "10s", percent = 15)
expect(service = "at least 85%", pressure = "at most 1")
