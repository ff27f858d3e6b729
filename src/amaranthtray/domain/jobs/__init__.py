"""Jobs: steps of tasks that need CPU, memory and accelerators of hosts."""
