"""A buffer for received bytes that returns views instead of copies.

Each byte of the memory is written only once, so a returned view stays valid as long as it is
referenced. Not thread-safe.
"""


class ReceiveBuffer:
    """Memory for received bytes. Bytes are unread until `take` has returned them.

    Attributes:
        size: Minimum size of a new block of memory, in bytes.
        view: The block of memory that received bytes are currently written to.
        start: Offset of the first unread byte in `view`.
        end: Offset after the last unread byte in `view`; the receiver advances it.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.view = memoryview(bytearray(size))
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def writable_view(self, message_length: int = 0) -> memoryview:
        """Return memory for the next received bytes, in a new block if the current one is full.

        Args:
            message_length: Length of the message that starts with the first unread byte; 0 if it
                is unknown. If the message does not fit into the current block, a new block is used.
        """
        if self.end == len(self.view) or self.start + message_length > len(self.view):
            unread = self.view[self.start : self.end]
            block = memoryview(bytearray(max(self.size, message_length, 2 * len(unread))))
            block[: len(unread)] = unread
            self.view = block
            self.start = 0
            self.end = len(unread)
        return self.view[self.end :]

    def release_large_block(self) -> None:
        """Replace a block of more than the minimum size if all of its bytes were taken.

        The block stays in memory only as long as views of taken bytes refer to it.
        """
        if len(self.view) > self.size and self.start == self.end:
            self.view = memoryview(bytearray(self.size))
            self.start = 0
            self.end = 0

    def take(self, length: int) -> memoryview:
        """Consume and return the first `length` unread bytes."""
        taken = self.view[self.start : self.start + length]
        self.start += length
        return taken

    def unread(self) -> memoryview:
        """Return the unread bytes without consuming them."""
        return self.view[self.start : self.end]
