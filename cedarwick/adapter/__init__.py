"""The simulator's wire in front of the decisions."""
