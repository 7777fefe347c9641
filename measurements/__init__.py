"""Measurements of the fleet as separate processes; each prints one line of JSON."""
