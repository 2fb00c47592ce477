"""Tests of `cedarwick.decisions`."""
