"""HTTP/1.1 as callers, engines and the store of the soak speak it; shares no code with the relay."""
import asyncio
import hashlib
import socket
import struct

READ_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)


def digest(*parts):
    """Short checksum of texts, as a seal or a body carries it."""
    return hashlib.blake2s("\n".join(parts).encode(), digest_size=8).hexdigest()


async def read_head(reader):
    """First line and headers (names in lower case) of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if not line:
            continue
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """One chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
    return (await reader.readexactly(size + 2))[:size]


def ends_with_close(headers):
    """Whether only the end of its connection ends an answer."""
    return "content-length" not in headers and "transfer-encoding" not in headers


async def read_body(reader, headers):
    """Whole body of a message with a frame."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    pieces = []
    while piece := await read_chunk(reader):
        pieces.append(piece)
    return b"".join(pieces)


async def read_pieces(reader, headers):
    """Pieces of a body of any frame as they come."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while piece := await read_chunk(reader):
            yield piece
        return
    left = None if ends_with_close(headers) else int(headers["content-length"])
    while left is None or left > 0:
        piece = await reader.read(65536 if left is None else min(left, 65536))
        if not piece and left is not None:
            raise asyncio.IncompleteReadError(b"", left)
        if not piece:
            return
        yield piece
        left = None if left is None else left - len(piece)


def head(first_line, headers):
    """Bytes of a message's head."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def message(first_line, headers, body=b"", in_chunks=False):
    """Bytes of a message with a length, or in two chunks."""
    frame = {"Transfer-Encoding": "chunked"} if in_chunks else {"Content-Length": len(body)}
    start = head(first_line, {**headers, **frame})
    if not in_chunks:
        return start + body
    middle = (len(body) + 1) // 2
    pieces = [piece for piece in (body[:middle], body[middle:]) if piece]
    return start + b"".join(chunk(piece) for piece in pieces) + chunk(b"")


def chunk(data):
    """One chunk of a chunked body; the last one for no data."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def reset(transport):
    """Ends a connection with a TCP reset instead of an end of file."""
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass  # Closed by the other side already.
    transport.abort()
