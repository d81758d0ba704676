load("_ferreira.star", "ferreira")

about("Salto goes dark for 20 s and comes back")
ferreira()
failure("site_dark", at = "20s", length = "20s", site = "salto")
expect(service = "at least 85%", worst_window = "at least 60%")
