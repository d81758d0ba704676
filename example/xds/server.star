# A management server with two clusters of one stand-in sender each, and a drain
# now and then. Run it from the root of the repository:
#
#     bin/yardlab xds example/xds/server.star

s = serve("127.0.0.1:18000")

def senders(health):
    return [endpoint("127.0.0.1:9001", name = "s1", zone = "here", type = "toy", weight = 9),
            endpoint("127.0.0.1:9002", name = "s2", zone = "here", type = "toy", health = health)]

put(s, type = "cds", version = "1", resources = [cluster("senders")])
put(s, version = "1", resources = [assignment("senders", senders("HEALTHY"))])
expect(s, "ack", within = "1h")
print("the dispatcher has taken the list")

for n in range(2, 1000):
    sleep("10s")
    health = "DRAINING" if n % 2 == 0 else "HEALTHY"
    print("s2 is " + health)
    put(s, version = str(n), resources = [assignment("senders", senders(health))])
