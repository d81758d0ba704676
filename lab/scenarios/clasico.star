load("_ferreira.star", "ferreira")

about("A flash crowd while a fifth of the hosts are slow and a dispatcher dies")
ferreira()
traffic(rate = 50, retries = "later")
surge(at = "20s", length = "10s", percent = 200)
failure("slow", at = "15s", length = "20s", percent = 20, times_percent = 400)
failure("crash", at = "24s", length = "3s", percent = 34)
expect(service = "at least 70%")
