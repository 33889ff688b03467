"""Input and output of the processes, on Twisted: frames between processes, HTTP, disk, clock, event loop."""
