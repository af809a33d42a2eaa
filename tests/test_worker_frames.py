"""Tests of `worker_frames`."""

import struct
import zlib

from fakes import ROW

from function_router.config import parse_settings
from function_router.net.codecs import thrift, worker_frames

FIELDS = {"op": "view", "call": "9b1f03aa5c7e2d41", "ttl": "1500", "org": "acme", "row": ROW}


def framed(message):
    return struct.pack(">I", len(message)) + message


def head(name=b"handle", seqid=7, kind=thrift.CALL, version=thrift.VERSION):
    return struct.pack(">Ii", version | kind, len(name)) + name + struct.pack(">i", seqid)


def pieces(reader, data, size):
    found = []
    for start in range(0, len(data), size):
        found += reader.feed(data[start : start + size])
    return found


CLASSES = parse_settings({"classes": [{"name": "view", "effect": "idempotent"},
                                     {"name": "save", "effect": "deduplicated"}]}).classes  # fmt: skip


def test_the_layout_is_the_documented_one():
    data = worker_frames.encode_run(bytes(range(8)), "view", ROW, 1499.9, "tok", b"hi")
    fields = f"kind=view,obj={ROW},ms=1499,token=tok".encode()
    assert data[:16] == b"\x80\x01" + struct.pack(">HI", len(fields), 2) + bytes(range(8))
    assert data[16:-4] == fields + b"hi"
    assert data[-4:] == struct.pack(">I", zlib.crc32(fields + b"hi"))


def test_frames_whole_and_in_pieces():
    data = b"".join(
        worker_frames.encode(code, b"%08d" % code, f"res=init,company={code},odd,=x", b"b" * code, 129)
        for code in range(6)
    )
    for size in (1, 5, 17, 1000):
        reader = worker_frames.FrameReader()
        found = pieces(reader, data, size)
        contents = [(f.code, f.fields["company"], len(f.body)) for f in found]
        assert contents == [(code, str(code), code) for code in range(6)]
        assert found[0].fields == {"res": "init", "company": "0"}
        assert not reader.error


def test_faults_end_the_stream_after_what_was_whole():
    good = worker_frames.encode(0, b"goodgood", "res=reused", b"x", 129)
    flipped = bytearray(good)
    flipped[-6] ^= 1
    cases = {
        "the mark of a front end": worker_frames.encode(0, b"goodgood"),
        "a flipped bit": bytes(flipped),
        "an impossible length": struct.pack(">BBHI8s", 129, 0, 0, 2**31, b"goodgood"),
    }
    for name, bad in cases.items():
        reader = worker_frames.FrameReader()
        assert [frame.body for frame in reader.feed(good + bad + good)] == [b"x"], name
        assert reader.error, name
