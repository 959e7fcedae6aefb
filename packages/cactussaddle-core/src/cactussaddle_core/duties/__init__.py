"""Calls to the platform that are the duty of one node at a time, and the usage that it reports."""
