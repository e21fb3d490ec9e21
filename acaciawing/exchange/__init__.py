"""Package exchange."""
