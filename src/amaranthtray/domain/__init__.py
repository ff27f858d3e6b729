"""Decision logic without I/O or clocks.

State, a typed message and a time go in; a new state and effects come out.
"""
