"""Helpers of the tests: stand-ins for what a router talks to, and harnesses that drive it."""
