"""Measurements of a fleet of separate processes; each prints one line of JSON."""
