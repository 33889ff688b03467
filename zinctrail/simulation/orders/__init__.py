"""Runs in which operators send competing commands under the same version while control nodes fail, and their checks."""
