"""Tests of `cedarwick.adapter`."""
