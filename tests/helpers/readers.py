"""Feeding of incremental parsers."""


def feed_in_chunks(reader, data, size):
    """All messages that a reader finds in data which comes in chunks of a size."""
    messages = []
    for start in range(0, len(data), size):
        messages += reader.feed(data[start : start + size])
    return messages
