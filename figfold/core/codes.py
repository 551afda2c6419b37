"""Numbered result codes, and failures as values."""

from enum import Enum, IntEnum

from attrs import field, frozen


class Outcome(Enum):
    """Whether the caller's request was executed, as far as it is known."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Code(IntEnum):
    """Result codes, grouped by hundreds.

    1xx settings and configuration, 2xx sheet and plan, 3xx request refused, 4xx request attempted,
    5xx look-up, 6xx platform, 7xx peer, 8xx command line, 9xx the entry itself.
    """

    OK = 0

    # Settings.
    SETTINGS_UNREADABLE = 101
    SETTINGS_SYNTAX = 102
    SETTINGS_UNKNOWN_SECTION = 103
    SETTINGS_UNKNOWN_OPTION = 104
    SETTINGS_BAD_VALUE = 105
    SETTINGS_MISSING = 106
    SETTINGS_DUPLICATE = 107

    # Operator's configuration, as a file.
    CONFIGURATION_UNREADABLE = 111
    CONFIGURATION_BAD_VALUE = 112
    CONFIGURATION_CONTRADICTS = 113

    # Sheet and plan.
    SHEET_UNREADABLE = 201
    SHEET_HEADER = 202
    SHEET_TRUNCATED = 203
    SHEET_UNKNOWN_NAME = 204
    SHEET_DUPLICATE = 205
    SHEET_BAD_NUMBER = 206
    SHEET_SPREADSHEET_ERROR = 207
    SHEET_MISSING_ROW = 208
    SHEET_SHARE_SUM = 209
    SHEET_CAP_UNBEARABLE = 210
    SHEET_BAD_TIME = 211
    SHEET_BAD_STATE = 212
    SHEET_TOO_LARGE = 213
    SHEET_COLUMN_COUNT = 214
    PLAN_CONFLICT = 221
    PLAN_CORRUPT = 222
    PLAN_NOT_EVERYWHERE = 223
    PLAN_UNCONFIRMED = 224
    PLAN_NONE = 225

    # Requests refused; nothing was sent to a backend server.
    UNKNOWN_SERVICE = 301
    KEY_REQUIRED = 302
    KEY_REUSED = 303
    KEY_IN_PROGRESS = 304
    KEY_UNKNOWN_OUTCOME = 305
    QUEUE_FULL = 307
    DEADLINE_TOO_SHORT = 308
    DEADLINE_PASSED = 309
    PLACE_EMPTYING = 310
    NO_PERMIT = 311
    NO_SERVER = 312
    QUARANTINED = 313
    BODY_TOO_LARGE = 316
    BAD_REQUEST = 317
    KEY_INVALID = 318
    LINK_FULL = 320
    BODY_INCOMPLETE = 321
    CALLER_GONE = 322
    NO_ROOM = 323
    NO_ROUTE = 324
    NO_CONFIGURATION = 325
    ENTRY_LEAVING = 326
    NO_MEMORY = 327
    SERVERS_LIMITED = 328
    UNKNOWN_API_KEY = 329
    KEYS_UNCONFIRMED = 330
    HOMES_EXCLUDE = 331
    SERVICE_SHORT = 333
    OVER_LIMIT = 332
    KEY_MOVED = 334

    # Requests attempted at a backend server.
    CONNECT_FAILED = 401
    SERVER_TIMEOUT = 402
    SERVER_RESET = 403
    SERVER_SHORT_ANSWER = 404
    SERVER_SHED = 405
    SERVER_BAD_ANSWER = 406
    ANSWER_NOT_KEPT = 407
    PEER_ENTRY_FAILED = 408
    OTHER_SERVER = 409
    FOREIGN_ANSWER = 410
    UNPROVEN_REFUSAL = 411
    NO_ANSWER_MEMORY = 412

    # Look-ups.
    LOOKUP_NO_ENTRY = 501
    LOOKUP_BAD_QUERY = 502

    # Platform.
    STORE_UNREACHABLE = 601
    STORE_TIMEOUT = 602
    STORE_CONFLICT = 603
    STORE_MISSING = 604
    STORE_BAD_ANSWER = 605
    STORE_ERROR = 606
    STORE_HISTORY_LOST = 607
    STORE_EARLIER_ERA = 608

    # Peers.
    PEER_MALFORMED = 701
    PEER_OVERSIZED = 702
    PEER_TIMEOUT = 704
    PEER_UNREACHABLE = 705

    # Command line and admin endpoint.
    USAGE = 801
    ENTRY_UNREACHABLE = 802
    ADMIN_NOT_ALLOWED = 803
    NOT_FOUND = 804

    # The entry itself.
    ENTRY_ERROR = 901


@frozen
class Failure:
    """An error as a value: its code, what was found and how to correct it.

    Attributes
    ----------
    code : Code
        The numbered result code.
    message : str
        What was found.
    remedy : str
        What the user can do about it.
    file, line, field : str, int, str
        Where it was found, if that applies; ``line`` counts from 1.
    value : str
        The invalid value as it was read.
    """

    code: Code
    message: str
    remedy: str = ""
    file: str = ""
    line: int = 0
    field: str = field(default="")
    value: str = ""

    def __str__(self):
        where = ":".join(str(part) for part in (self.file, self.line or "") if part)
        name = f" {self.field}:" if self.field else ""
        remedy = f" ({self.remedy})" if self.remedy else ""
        prefix = f"{where}: " if where else ""
        return f"{prefix}E{int(self.code)}{name} {self.message}{remedy}"
