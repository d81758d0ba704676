load("_ferreira.star", "ferreira")

about("A dispatcher dies and is back after 4 s with its last list")
ferreira()
failure("crash", at = "20s", length = "4s", percent = 34)
expect(service = "at least 95%")
