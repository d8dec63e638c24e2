"""Measurements, outside CI. Peers are simulated, on loopback; figures hold for one machine and one run."""
