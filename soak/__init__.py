"""Randomized soak test: real processes under externally injected faults."""
