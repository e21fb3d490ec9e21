"""Package commandline."""
