"""Tests of `cedarwick.net`."""
