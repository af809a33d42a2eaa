"""Tests of `worker_frames`: the layout of frames, chunked reads, and invalid frames."""

import struct
import zlib

import pytest
from helpers.client_messages import FUNCTION
from helpers.readers import feed_in_chunks

from function_router.net.codecs import worker_frames
from function_router.net.codecs.worker_frames import FrameReader

# The direction byte of a worker's frame. It is a literal, like the codes and field names in the tests, so
# that a change of the codec's constants fails the tests.
WORKER_BYTE = 129
VALID_FRAME = worker_frames.encode(0, b"goodgood", "res=reused", b"x", WORKER_BYTE)


def with_flipped_bit(frame):
    flipped = bytearray(frame)
    flipped[-6] ^= 1
    return bytes(flipped)


def test_request_frame_has_the_documented_layout():
    data = worker_frames.encode_run(bytes(range(8)), "view", FUNCTION, 1499.9, "tok", b"hi")

    fields = f"kind=view,obj={FUNCTION},ms=1499,token=tok".encode()
    assert data[:16] == b"\x80\x01" + struct.pack(">HI", len(fields), 2) + bytes(range(8))
    assert data[16:-4] == fields + b"hi"
    assert data[-4:] == struct.pack(">I", zlib.crc32(fields + b"hi"))


@pytest.mark.parametrize("chunk_size", [1, 5, 17, 1000])
def test_frames_are_read_whole_and_in_chunks(chunk_size):
    reader = FrameReader()
    data = b"".join(
        worker_frames.encode(
            code, b"%08d" % code, f"res=init,company={code},odd,=x", b"b" * code, WORKER_BYTE
        )
        for code in range(6)
    )

    frames = feed_in_chunks(reader, data, chunk_size)

    contents = [(frame.code, frame.fields["company"], len(frame.body)) for frame in frames]
    assert contents == [(code, str(code), code) for code in range(6)]
    assert frames[0].fields == {"res": "init", "company": "0"}
    assert not reader.error


@pytest.mark.parametrize(
    "invalid",
    [
        pytest.param(worker_frames.encode(0, b"goodgood"), id="from-a-router"),
        pytest.param(with_flipped_bit(VALID_FRAME), id="flipped-bit"),
        pytest.param(struct.pack(">BBHI8s", WORKER_BYTE, 0, 0, 2**31, b"goodgood"), id="body-too-long"),
    ],
)
def test_invalid_frame_ends_reading_after_the_frames_before_it(invalid):
    reader = FrameReader()

    frames = reader.feed(VALID_FRAME + invalid + VALID_FRAME)

    assert [frame.body for frame in frames] == [b"x"]
    assert reader.error
