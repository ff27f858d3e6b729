"""The tasks of an entry that takes jobs and conducts pools."""
