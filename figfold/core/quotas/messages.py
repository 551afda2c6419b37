"""Messages by which entries and quota holders move shares of limits.

The receiver of a request states a stamp in its reply: its process and its own clock. The next
request repeats the stamp. It proves that the reply has arrived, and bounds the age of a request
that was delayed on the way, without a comparison of clocks.
"""

from attrs import frozen


@frozen
class QuotaDemand:
    """Requests of an organisation at the sender, named when they have changed.

    Attributes
    ----------
    per_s : float
        Requests per second, refused ones included; 0 gives up the share.
    share : float
        Share that a quota holder of another region wants to borrow; 0 in requests of entries.
    tokens : float
        Tokens that the sender has left.
    waiting : int
        Requests that wait for the reply.
    """

    organisation: str
    per_s: float
    share: float = 0.0
    tokens: float = 0.0
    waiting: int = 0


@frozen
class QuotaRequest:
    """Delegates the base share to a quota holder, and states demand.

    Attributes
    ----------
    name, incarnation : str, int
        Process of the sender.
    is_region : bool
        Whether a quota holder borrows for its region, instead of an entry for itself.
    is_whole : bool
        Whether organisations that are not named have no demand.
    is_settled : bool
        Whether the sender uses no more than the leases of the reply whose stamp it repeats.
    echo_incarnation, echo_stamp : int
        Stamp of the last reply of the receiver; 0 for none.
    base_share : float
        Share of each limit that the sender delegates, from the stamp on; 0 for none.
    """

    name: str
    incarnation: int
    is_region: bool = False
    is_whole: bool = False
    is_settled: bool = True
    echo_incarnation: int = 0
    echo_stamp: int = 0
    base_share: float = 0.0
    demands: tuple[QuotaDemand, ...] = ()


@frozen
class QuotaLease:
    """Share of an organisation's limit that the receiver may use, and tokens that come with it.

    Attributes
    ----------
    permits : int
        Requests that the sender has taken from its own tokens, for requests that wait.
    is_scarce : bool
        Whether demand exceeds what the sender has, so that asking again at once is of no use.
    """

    organisation: str
    share: float
    tokens: float = 0.0
    permits: int = 0
    is_scarce: bool = False


@frozen
class QuotaReply:
    """Renews the leases of the receiver, and states those that have changed.

    Attributes
    ----------
    incarnation, stamp : int
        Process of the sender, and its clock in microseconds.
    duration_s : float
        Duration of all leases; the borrower counts it from its request.
    is_whole : bool
        Whether leases that are not named are void.
    """

    incarnation: int
    stamp: int
    duration_s: float
    is_whole: bool
    leases: tuple[QuotaLease, ...] = ()
