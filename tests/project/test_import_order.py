"""Imports between modules have no cycles, those for type annotations included."""

from graphlib import TopologicalSorter

import grimp


def test_imports_have_no_cycle() -> None:
    graph = grimp.build_graph("cherrygrade")
    imports = {module: graph.find_modules_directly_imported_by(module) for module in graph.modules}
    assert len(imports) > 100
    TopologicalSorter(imports).prepare()  # raises CycleError with the cycle
