"""Capacity: slopes from reports of runs, and the tables of docs/CAPACITY.md drawn from them."""
