"""Libraries that applications link: sending requests as a client, serving them as an endpoint, coordination."""
