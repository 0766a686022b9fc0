"""The platform's dispatcher, measured: `platform.py --quick`; see platform_door.py.

Scripts of this folder look for modules in it first, so this file stands in the way of a library that wants
the standard `platform`: imported, it gives its place to that one.
"""

from __future__ import annotations

import asyncio
import importlib.util
import os
import sys
from pathlib import Path

if __name__ == "__main__":
    from platform_door import main

    sys.exit(asyncio.run(main("--quick" in sys.argv)))

spec = importlib.util.spec_from_file_location("platform", Path(os.__file__).with_name("platform.py"))
assert spec is not None and spec.loader is not None
module = importlib.util.module_from_spec(spec)
sys.modules["platform"] = module
spec.loader.exec_module(module)
