"""Stand-ins for the platform, its workers and endpoints, for tests and demos.

The package acaciawing never imports this one.
"""
