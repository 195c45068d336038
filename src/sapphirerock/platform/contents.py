"""What hosts keep of the content of stored objects, by kind."""

from sapphirerock.platform.names import ENGINES_KIND
from sapphirerock.platform.registrations import USED_FIELDS, trim_registration

# Kinds that anyone may write, with any content: the fields that hosts use, and what
# reduces a content to them.
FIELDS = {ENGINES_KIND: USED_FIELDS}
TRIMS = {ENGINES_KIND: trim_registration}


def trim_content(kind, name, content):
    """Return what is kept of an object's content; all of it for most kinds."""
    trim = TRIMS.get(kind)
    return content if trim is None else trim(name, content)
