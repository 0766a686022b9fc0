"""Byte ranges of volumes: the extent map, splitting and coalescing of requests.

The decisions are in `extent_map`, `piece_tracker` and `coalescing_predictor`, which use no I/O or clock;
`range_service` applies these decisions on the event loop.
"""
