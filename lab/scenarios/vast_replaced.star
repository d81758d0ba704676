load("_vast.star", "vast")

about("Six in ten of 60 senders are replaced within 7 s, and some of the others hang")
vast()
failure("drain", at = "12s", length = "7s", percent = 60)
failure("hang", at = "14s", length = "8s", percent = 8)
run(length = "60s", seeds = 2)
expect(service = "at least 62%", cold_peak = "at most 250", pressure = "at most 90%")
