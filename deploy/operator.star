# The operator's file of this installation. Everything is off: the dispatcher runs
# as the platform's configuration says. It is read where the command line names it
#
#     bin/yardwharf run --operator deploy/operator.star
#
# and again at each SIGHUP, whole or not at all. `bin/yardwharf check FILE` checks
# one without running anything. It is Starlark: loops, functions and load() of
# files beside it work; there is no clock, no randomness and no I/O. What each key
# means is in docs/OPERATOR.md; the values shown are the defaults unless marked.
#
# ---- Where the list of south side hosts comes from
#
# inventory(xds(
#     server = "127.0.0.1:18000",       # needed; ip:port, or a list, tried in order
#     node = node(                      # needed; what the server is told of us
#         id = "n0",                    # needed
#         cluster = "yard",             # default ""
#         zone = "montevideo",          # default ""
#     ),
#     mode = "delta",                   # or "sotw", state of the world
#     clusters = ["senders"],           # default []: all that CDS gives; else these
#                                       # and those that routes name
#     tls = tls(                        # default None: plain text
#         ca = "ca.pem",                # needed; who signs the server's certificate
#         cert = "n0.pem",              # ours; read again when the file changes
#         key = "n0.key",
#         server_name = "xds",          # default: the address
#     ),
#     initial_fetch_timeout = "15s",    # a cluster is waited for no longer
#     stale_hold = "1m",                # how long an update that looks old is held
#     allow_empty = False,              # an update may take the last host
#     max_message_mb = 16,              # of one response
#     max_hosts = 100000,               # in all clusters together
#     backoff_most = "5s",              # between two attempts to reach a server
#     silence = "20s",                  # a connection that is dead for so long is given up
# ))
#
# ---- Which clusters may serve a class; a class without a route: all of them
#
# route(class_ = "campaign-batch", clusters = {"senders": 90, "senders-b": 10})
#
# ---- Jobs that wait for others or for a time (docs/JOBS.md); from the next start on
#
# jobs(
#     listen = "127.0.0.1:8090",        # needed; where the API serves
#     snapshot = "jobs.snapshot",       # default none; hands jobs over a planned restart
#     ageing = ageing(bound = "30s", reserve_percent = 10),   # or False: worth alone
#     hold = "10m",                     # how long the ends of jobs are remembered
#     hold_mb = 16,                     # and how many MB of results
#     limits = limits(jobs = 100000, per_class = 100000, edges = 400000, fan_in = 1000, depth = 1000,
#                     mb = 64, batch = 10000, repeats = 100),
# )
#
# ---- Zones left and regained together with the other dispatchers (docs/ZONES.md)
#
# zones(
#     start_percent = 10,               # of the draws, with which a return begins
# )
