"""A buffer for received bytes that hands out views instead of copies.

Each byte of the memory is written only once, so a view handed out stays valid for as long as
somebody holds it. Not thread-safe.
"""


class ReceiveBuffer:
    """Memory to receive into, and the bytes that have come and are not consumed yet.

    Attributes:
        size: Bytes of a fresh block of memory.
        view: The block that is written at present.
        start: Offset in `view` of the first unread byte.
        end: Offset in `view` behind the last unread byte; whoever receives moves it on.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.view = memoryview(bytearray(size))
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def writable_view(self, message_length: int = 0) -> memoryview:
        """Returns the memory for the next bytes; takes a fresh block where this one is full.

        Args:
            message_length: Length of the message whose first bytes are unread, where it is known:
                all of it then fits into one block.
        """
        if self.end == len(self.view) or self.start + message_length > len(self.view):
            unread = self.view[self.start : self.end]
            block = memoryview(bytearray(max(self.size, message_length, 2 * len(unread))))
            block[: len(unread)] = unread
            self.view = block
            self.start = 0
            self.end = len(unread)
        return self.view[self.end :]

    def take(self, length: int) -> memoryview:
        """Consumes the first unread bytes and returns them."""
        taken = self.view[self.start : self.start + length]
        self.start += length
        return taken

    def unread(self) -> memoryview:
        """Returns the unread bytes without consuming them."""
        return self.view[self.start : self.end]
