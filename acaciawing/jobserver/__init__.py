"""Job server: schedules the jobs of the cells that an entry instance holds."""
