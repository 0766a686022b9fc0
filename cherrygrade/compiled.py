"""The decision module in machine code: the same source through mypyc, so the same decisions, sooner.

The compiled form stands beside the environment's other packages under a name of its own and carries a mark of
the source that it was made from. It is used only where that mark is the present source's: an edited module is
run as it reads until it is compiled again.
"""

from __future__ import annotations

import hashlib
import importlib
import os
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from pathlib import Path

from cherrygrade.scheduling import model, scheduler

NAME = "cherrygrade_compiled_policy"
HEAD = '# mypy: disable-error-code="union-attr,arg-type"\nMARK = "{mark}"\n'


def mark() -> str:
    """Of the module and of the types it works on, as they read now."""
    text = b"".join(Path(str(module.__file__)).read_bytes() for module in (scheduler, model))
    return hashlib.blake2b(text, digest_size=12).hexdigest()


def dispatcher() -> tuple[type[scheduler.Scheduler], bool]:
    """The module's class, and whether it is the compiled one."""
    try:
        found = importlib.import_module(NAME)
    except ImportError:
        return scheduler.Scheduler, False
    if getattr(found, "MARK", "") != mark():
        return scheduler.Scheduler, False
    made: type[scheduler.Scheduler] = found.Scheduler
    return made, True


def build() -> str:
    """Compile into this environment; gives what was done. RuntimeError where it cannot be."""
    if dispatcher()[1]:
        return "the compiled module is of this source already"
    with tempfile.TemporaryDirectory() as folder:
        text = Path(str(scheduler.__file__)).read_text()
        # The docstring and the future import stay first; the mark goes behind them.
        first, future, rest = text.partition("from __future__ import annotations\n")
        if not future:
            raise RuntimeError("the module does not begin as expected")
        head = HEAD.format(mark=mark()).split("\n", 1)
        (Path(folder) / f"{NAME}.py").write_text(f"{head[0]}\n{first}{future}{head[1]}{rest}")
        root = str(Path(str(scheduler.__file__)).resolve().parent.parent.parent)
        done = subprocess.run(
            [sys.executable, "-c", "import sys; from mypyc.__main__ import main; main()", f"{NAME}.py"],
            cwd=folder,
            capture_output=True,
            text=True,
            env=_environment(root),
            check=False,
        )
        made = sorted(Path(folder).glob(f"{NAME}*.so"))
        if done.returncode or not made:
            raise RuntimeError(f"not compiled, it runs as it reads: {(done.stderr or done.stdout)[-2000:]}")
        into = Path(sysconfig.get_paths()["purelib"])
        for file in made:
            shutil.copy2(file, into / f"{file.name}.new")
            (into / f"{file.name}.new").replace(into / file.name)
    return f"compiled into {into.name}"


def _environment(root: str) -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": root, "MYPYPATH": root}
