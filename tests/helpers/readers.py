"""Passes data to incremental parsers, such as the frame readers of the codecs."""


def feed_in_chunks(reader, data, size):
    """Pass data to a reader in chunks of this size, and return all messages that it parses."""
    messages = []
    for start in range(0, len(data), size):
        messages += reader.feed(data[start : start + size])
    return messages
