"""What the scripts of this review share: a small deployment on loopback, and stand-ins of the platform."""
