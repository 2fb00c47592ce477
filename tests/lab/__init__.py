"""Tests of `cedarwick.lab`."""
