"""Feeds incremental parsers, such as the codecs' frame readers."""


def feed_in_chunks(reader, data, size):
    """All messages that a reader finds in data that comes in chunks of this size."""
    messages = []
    for start in range(0, len(data), size):
        messages += reader.feed(data[start : start + size])
    return messages
