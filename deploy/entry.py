"""Starts an entry on the platform from a source checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "src"))

from amaranthtray.platform.run import main

main()
