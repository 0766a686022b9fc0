"""Lines through what was measured at several sizes: how much one more costs, and where that changes.

Pure functions: figures in, figures out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from cherrygrade.lab.capacity.errors import TooFew

ENOUGH = 4  # sizes, for a slope that the page calls measured
LEAST = 3  # sizes, for a word on what lies beyond them
SEEN_BEND = 0.05  # of the steeper slope: a smaller difference is none, however small the spread


@dataclass(frozen=True, slots=True)
class Point:
    """One size's figure, and the least and most of it over repeats (or members)."""

    size: float
    mean: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Slope:
    """`per`: of one more; `base`: at size 0; `residual`: root of the mean squared distance to the line.

    `first`, `last`: the slope between the first two sizes and the last two; `spread`: by how much these two
    may differ by the points' own spread alone; `bends`: they differ by more, and by a twentieth at least.
    """

    points: tuple[Point, ...]
    per: float
    base: float
    residual: float
    first: float
    last: float
    spread: float
    bends: bool


@dataclass(frozen=True, slots=True)
class Seen:
    """A figure at a size. `beyond`: that size over the largest that was run; 1.0 where it was run or lies
    between sizes that were."""

    figure: float
    beyond: float

    @property
    def extrapolated(self) -> bool:
        return self.beyond > 1.0


def pooled(points: Iterable[Point]) -> list[Point]:
    """One point a size, by size: the mean of means, the least and the most of all."""
    by_size: dict[float, list[Point]] = {}
    for point in points:
        by_size.setdefault(point.size, []).append(point)
    return [
        Point(
            size,
            sum(one.mean for one in some) / len(some),
            min(one.low for one in some),
            max(one.high for one in some),
        )
        for size, some in sorted(by_size.items())
    ]


def fit(points: Iterable[Point], spread_known: bool = True) -> Slope:
    """The line of least squares; TooFew under two sizes. Where the spread is not known (single seconds of
    single runs) it is not said to bend."""
    found = pooled(points)
    if len(found) < 2:
        raise TooFew(f"a line through {len(found)} sizes is wanted")
    count = len(found)
    middle = sum(one.size for one in found) / count
    mean = sum(one.mean for one in found) / count
    wide = sum((one.size - middle) ** 2 for one in found)
    per = sum((one.size - middle) * (one.mean - mean) for one in found) / wide
    base = mean - per * middle
    residual = (sum((one.mean - base - per * one.size) ** 2 for one in found) / count) ** 0.5
    first, apart = _between(found[0], found[1])
    last, more = _between(found[-2], found[-1])
    spread = apart + more
    differ = abs(last - first) > max(spread, SEEN_BEND * max(abs(first), abs(last)))
    bends = spread_known and len(found) > 2 and differ
    return Slope(tuple(found), per, base, residual, first, last, spread, bends)


def _between(one: Point, other: Point) -> tuple[float, float]:
    """Slope between two points, and by how much their spread alone may turn it."""
    gap = other.size - one.size
    return (other.mean - one.mean) / gap, ((one.high - one.low) + (other.high - other.low)) / 2.0 / gap


def at(slope: Slope, size: float) -> Seen:
    """The figure at a size: as run, else between the nearest two, else beyond the last by the line; where
    that bends, by the last interval's slope from the last point on. Never less than the last: that one
    more costs less than nothing is noise."""
    points = slope.points
    for one in points:
        if one.size == size:
            return Seen(one.mean, 1.0)
    if size < points[-1].size:
        after = next((n for n, one in enumerate(points) if one.size > size), 1)
        low, high = points[max(0, after - 1)], points[max(1, after)]
        return Seen(low.mean + (high.mean - low.mean) / (high.size - low.size) * (size - low.size), 1.0)
    last = points[-1]
    if slope.bends:
        figure = last.mean + slope.last * (size - last.size)
    else:
        figure = slope.base + slope.per * size
    return Seen(max(last.mean, figure), size / last.size)


def reaches(slope: Slope, budget: float) -> float:
    """The size at which the figure passes the budget; infinity where it never does."""
    points = slope.points
    if points[0].mean > budget:
        return points[0].size
    for one, other in pairwise(points):
        if other.mean > budget:
            return one.size + (budget - one.mean) / (other.mean - one.mean) * (other.size - one.size)
    grows = slope.last if slope.bends else slope.per
    start = (points[-1].mean, points[-1].size) if slope.bends else (slope.base, 0.0)
    if grows <= 0.0:
        return float("inf")
    return max(points[-1].size, start[1] + (budget - start[0]) / grows)
