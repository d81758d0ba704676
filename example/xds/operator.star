# The operator's file of the xDS example.
inventory(xds("127.0.0.1:18000", node = node(id = "n0", cluster = "yard", zone = "here")))
route("send-alert", {"senders": 1})
