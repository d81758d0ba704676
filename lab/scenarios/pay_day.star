load("_ferreira.star", "ferreira")

about("Three times the traffic for 15 s, and clients that ask again at once")
ferreira()
traffic(rate = 50, retries = "at_once")
surge(at = "20s", length = "15s", percent = 300)
expect(service = "at least 55%", tries = "at most 2.5")
