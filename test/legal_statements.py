"""Texts of callers from the whole range that the protocol allows, as Latin-1 text."""

MESSAGE_BYTES = (1 << 20) - 1  # longest line without CR LF: CR counts as part of the message
NAME_BYTES = 1000

FIELDS = ("s1", "s2", "a", "READ", "WRITE", "AFTER", "COMMIT", "-", "wq14", "\xff", "\t", "\x1f\x7f")
LAST_FIELDS = ("q14", "q14 WRITE in", "q14 READ in", "q23 WRITE jy", "q27 READ bmto", "q27 WRITE bmto",
               "q16 is  lqj", " leading", "trailing ", "two  blanks", "q14 ", " q14", "READ", "AFTER 1.2 READ x",
               "in READ q14", "\x80\x01\xfe", " ", "\xe2\x82\xac\xa0", "- COMMIT", "\x0b\x0c\x85\x1e")
BYTES = [chr(byte) for byte in range(1, 256) if chr(byte) not in "\r\n"]
FIELD_BYTES = [each for each in BYTES if each != " "]


def field(random, longest=30):
    """Returns a field that is not the last one of its line."""
    if random.random() < 0.6:
        return random.choice(FIELDS)
    return "".join(random.choices(FIELD_BYTES, k=random.randint(1, longest)))


def name(random):
    return field(random, NAME_BYTES if random.random() < 0.1 else 30)


def last_field(random):
    if random.random() < 0.6:
        return random.choice(LAST_FIELDS)
    return "".join(random.choices(BYTES, k=random.randint(1, 40)))


def item(random):
    return f"i{random.randrange(9)}" if random.random() < 0.7 else field(random)


def fill(random, start):
    """Returns the text of a line that starts like this and has about the greatest length."""
    missing = MESSAGE_BYTES - len(start) - random.choice((0, 1, 2, 5, 30, 100_000))
    return "".join(random.choices(BYTES, k=97)) * (missing // 97) + "x" * (missing % 97)
