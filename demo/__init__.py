"""Demonstration launcher."""
