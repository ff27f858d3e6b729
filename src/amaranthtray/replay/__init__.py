"""Recording of traces of an entry, and their replay through ``Serving``."""
