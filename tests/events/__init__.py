"""Tests of `cedarwick.events`."""
