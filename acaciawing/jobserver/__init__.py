"""The job server: tasks that run the cells of an entry instance."""
