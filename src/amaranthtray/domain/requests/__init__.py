"""The request aggregate: admission, queueing, attempts and outcomes."""
