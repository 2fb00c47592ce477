"""Configuration files written by operators: their types, their checks and the documentation generated from them."""
