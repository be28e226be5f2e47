"""Whole numbers in text that others wrote."""


def whole_number(text: str, limit: int) -> int | None:
    """Return a number that is written in ASCII digits.

    ``int`` alone raises an error for thousands of digits and for the digits
    of other scripts, which ``isdigit`` lets pass.

    Args:
        text: The digits.
        limit: What a number above it is cut to.

    Returns:
        None if the text is no such number.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    significant = text.lstrip("0") or "0"
    if len(significant) > len(str(limit)):
        return limit
    return min(int(significant), limit)
