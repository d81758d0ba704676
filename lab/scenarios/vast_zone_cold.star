load("_vast.star", "vast")

about("One of three zones is lost to 80 dispatchers and returns cold, some of its hosts slow")
vast()
failure("site_dark", at = "12s", length = "10s", site = "salto")
failure("drain", at = "12s", length = "12s", percent = 100, site = "salto")
failure("slow", at = "24s", length = "10s", percent = 15, times_percent = 400)
run(length = "60s", seeds = 2)
expect(service = "at least 82%", pressure = "at most 90%")
