"""The tasks of an entry that accepts jobs and conducts pools."""
