"""Codecs: convert bytes to messages and back, without sockets, clocks or decisions."""
