"""Tests of `cedarwick.store`."""
