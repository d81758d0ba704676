load("_vast.star", "vast")

about("A release kills most of 80 dispatchers at once while discovery is overbooked")
vast()
failure("crash", at = "15s", length = "3s", percent = 70)
run(length = "50s", seeds = 2)
expect(service = "at least 88%", calls_peak = "at most 25")
