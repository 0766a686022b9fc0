"""Who imports whom: arrows run one way, those for types alone too."""

from graphlib import TopologicalSorter

import grimp


def test_no_file_imports_itself_by_way_of_others() -> None:
    graph = grimp.build_graph("cherrygrade")
    arrows = {module: graph.find_modules_directly_imported_by(module) for module in graph.modules}
    assert len(arrows) > 100
    TopologicalSorter(arrows).prepare()  # CycleError tells the circle
