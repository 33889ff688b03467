"""Steps of frames.feature: recorded frames are decoded and encoded to the same bytes."""

import json
import os

import behave

import features.support.frame_samples as frame_samples
import zinctrail.consensus.codec as codec
import zinctrail.consensus.message_kinds as message_kinds

FILE = os.path.join(os.path.dirname(__file__), '..', 'data', 'frames.json')


@behave.given('the recorded frames')
def recorded_frames(context):
    with open(FILE, encoding='utf-8') as file:
        context.frames = json.load(file)


@behave.when('each is decoded and encoded again')
def decoded_and_encoded(context):
    context.decoded = [codec.decode(json.loads(text)) for text in context.frames]
    context.encoded = [frame_samples.wire_text(codec.encode(message, message.sender)) for message in context.decoded]


@behave.then('all are the same, byte for byte')
def all_are_the_same(context):
    differ = [pair for pair in zip(context.frames, context.encoded, strict=True) if pair[0] != pair[1]]
    assert not differ, differ


@behave.then('there is one of every kind of message, with every field that it may have')
def one_of_every_field(context):
    recorded = [json.loads(text) for text in context.frames]
    for kind, message_type in message_kinds.MESSAGES.items():
        names = {name for frame in recorded if frame['t'] == kind for name in frame}
        missing = [wire_name for _, wire_name, *_ in message_type.layout if wire_name not in names]
        assert names and not missing, (kind, missing)
