load("_sofia.star", "sofia")

about("A hall goes dark for 15 s; jobs that must never run twice are the most of it")
sofia()
traffic(12)
failure("site_dark", at = "20s", length = "15s", site = "hall-mladost")
expect(service = "at least 88%", attempts = "at most 1.5")
