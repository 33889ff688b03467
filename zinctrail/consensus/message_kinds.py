"""All kinds of frames. Importing this module registers them, so that any frame can be decoded."""

import zinctrail.consensus.codec as codec
import zinctrail.consensus.messages as messages
import zinctrail.consensus.traffic_messages as traffic_messages

# The modules that declare messages; every role must know all kinds, even those that it has no handler for.
DECLARED_IN = (messages, traffic_messages)
# {kind of frame: type of message}
MESSAGES = codec.MESSAGES
# Decodes a frame of any kind.
decode = codec.decode
