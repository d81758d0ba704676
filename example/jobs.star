# The operator's file of the example with jobs that wait.
jobs(listen = "127.0.0.1:8090")
