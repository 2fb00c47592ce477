"""Tests of `cedarwick.config`."""
