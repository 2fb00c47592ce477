"""Tests of `cedarwick.ops`."""
