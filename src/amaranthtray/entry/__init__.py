"""The long-running entry process: caller API, admin API and its tasks."""
