"""This gateway's part of what the fleet may do together. Free of I/O and clock.

Limits hold in sum though nobody is asked: without news a gateway takes the part that the stated number of
gateways gives. A larger part is only ever lent, for a time; a smaller one counts at once.
"""


class Part:
    def __init__(self, stated: int) -> None:
        """`stated`: gateways of the site."""
        self.stated = max(1, stated)
        self.sharing = self.stated  # as last told
        self.until = 0.0  # end of the loan of a part that is larger than the stated number gives

    def told(self, sharing: int, until: float) -> None:
        """So many gateways share; that they are fewer than stated may be counted on up to `until`. 0: this
        one takes no part yet."""
        self.sharing, self.until = max(0, sharing), until

    def share(self, now: float) -> float:
        """Of each limit of the fleet. Guards against a lost peer's part being taken by those who only do not
        hear it: where the loan is not renewed, the stated number counts again."""
        if not self.sharing:
            return 0.0
        if self.sharing < self.stated and now >= self.until:
            return 1.0 / self.stated
        return 1.0 / self.sharing
