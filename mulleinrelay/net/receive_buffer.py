"""Received bytes: room to receive into, and views of what came. Each place in a buffer is written
only once, so a view handed out stays good for as long as somebody holds it.
"""


class ReceiveBuffer:
    def __init__(self, size: int) -> None:
        self.size = size
        self.view = memoryview(bytearray(size))
        self.start = self.end = 0  # the unread bytes

    def __len__(self) -> int:
        return self.end - self.start

    def writable_view(self, whole: int = 0) -> memoryview:
        """Where the next bytes go; `whole` is the length of a message whose start is unread, if
        known.
        """
        if self.end == len(self.view) or self.start + whole > len(self.view):
            unread = self.view[self.start : self.end]
            fresh = memoryview(bytearray(max(self.size, whole, 2 * len(unread))))
            fresh[: len(unread)] = unread
            self.view, self.start, self.end = fresh, 0, len(unread)
        return self.view[self.end :]

    def take(self, length: int) -> memoryview:
        taken = self.view[self.start : self.start + length]
        self.start += length
        return taken

    def unread(self) -> memoryview:
        return self.view[self.start : self.end]
