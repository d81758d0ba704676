# The second site, for the scenarios to load: 8 hosts, 3 dispatchers in two halls.
def sofia(hosts = (4, 4), dispatchers = (2, 1)):
    account("sofia")
    for name, n, d in zip(["hall-lozenets", "hall-mladost"], hosts, dispatchers):
        site(name, hosts = n, dispatchers = d)
