"""Connects the decisions to the simulator's wire protocol, on standard input and output."""
