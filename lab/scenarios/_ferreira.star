# The site of today, for the scenarios to load: 14 hosts, 3 dispatchers.
def ferreira(hosts = (6, 4, 4)):
    for name, n in zip(["montevideo", "salto", "maldonado"], hosts):
        site(name, hosts = n)
