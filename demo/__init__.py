"""Demonstration of acaciawing with stand-ins and real processes."""
