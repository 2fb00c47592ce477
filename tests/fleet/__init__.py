"""Tests of `cedarwick.fleet`."""
