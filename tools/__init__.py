"""Test clusters, measurements and the test runner."""
