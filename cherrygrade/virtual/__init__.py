"""Simulation in virtual time: an event loop whose clock jumps to the next timer, and a simulated network."""
