"""Token chains that reveal missing, repeated and wrong tokens.

A token has 32 bits. The low 16 are check bits, a function of the prompt and
all earlier tokens. The high 16 also depend on the engine's salt. Two engines
therefore continue the same prefix differently, and a mix of both continuations
fails the check.
"""

import xxhash

CHECK_BITS = 16
CHECK_MASK = (1 << CHECK_BITS) - 1


class TokenChain:
    """Running hash of a prompt and the tokens appended so far.

    Parameters
    ----------
    prompt : str
        The caller's prompt.
    salt : int
        Selects the high bits of generated tokens. Verification does not use it.

    Attributes
    ----------
    length : int
        Number of tokens appended so far.
    """

    __slots__ = ("_hash", "_salt", "length")

    def __init__(self, prompt, salt=0):
        self._hash = xxhash.xxh64(prompt.encode())
        self._salt = salt
        self.length = 0

    def make_token(self):
        """Generate the next token, append it and return it."""
        state = self._hash.intdigest()
        check_bits = state & CHECK_MASK
        salted_hash = xxhash.xxh32_intdigest(state.to_bytes(8, "big"), seed=self._salt)
        token = (salted_hash >> CHECK_BITS << CHECK_BITS) | check_bits
        self._append(token)
        return token

    def accept_token(self, token):
        """Append a received token and return whether its check bits are correct."""
        is_valid = token & CHECK_MASK == self._hash.intdigest() & CHECK_MASK
        self._append(token)
        return is_valid

    def _append(self, token):
        self._hash.update(token.to_bytes(4, "big"))
        self.length += 1


def find_broken_token(prompt, tokens):
    """Return the offset of the first token with wrong check bits, or None."""
    chain = TokenChain(prompt)
    for offset, token in enumerate(tokens):
        if not chain.accept_token(token):
            return offset
    return None


def render_text(tokens):
    """Return the text of some tokens.

    The concatenated text of several calls equals the text of one call with all tokens.
    """
    return "".join(f"{token:08x} " for token in tokens)
