# A grown fleet of the first site, for the scenarios to load: 60 hosts, 80 dispatchers.
def vast():
    for name, n, d in zip(["montevideo", "salto", "maldonado"], (20, 20, 20), (27, 27, 26)):
        site(name, hosts = n, dispatchers = d)
    traffic(200, retries = "later")
    discovery(serve = "80ms", queue = 40, patience = "4s")
