"""Randomized soak: real processes, and faults from outside them."""
