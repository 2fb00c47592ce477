"""Connects the decisions to the simulator's wire protocol over standard input and output."""
