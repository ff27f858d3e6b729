"""Jobs: steps of tasks that need processor, memory and a place."""
