import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventSplitter } from "../../../../src/request/relay/streams/eventSplitter.ts";

const text = "id: 1\ndata: a\n\n: note\n\nweight: 2\nid: 22\r\ndata: b\r\n\r\nid:3\ndata: \u00e9\n\nid: 4\nda";

describe("EventSplitter", () => {
    it("returns complete events with their ids, and retains an incomplete one", () => {
        const splitter = EventSplitter.create();
        const events = splitter.push(Buffer.from(text));
        assert.deepEqual(events.map(({ id }) => id), [1, undefined, 22, 3]);
        assert.ok(splitter.hasIncompleteEvent());
    });

    // Guards against ids that are read from other fields or only in part, which would lose or repeat events.
    it("reads only complete numeric ids at the start of a line", () => {
        const lines = ["id: 7x", "xid: 7", "id:", "id:  7", "data: id: 7", "id: 0012", "id:5\r", "id: 1\nid: 2"];
        const ids = lines.map(line => EventSplitter.create().push(Buffer.from(`data: a\n${line}\ndata: b\n\n`))[0]!.id);
        assert.deepEqual(ids, [undefined, undefined, undefined, undefined, undefined, 12, 5, 1]);
    });

    it("returns the same events with the same bytes, however the stream is split into chunks", () => {
        const bytes = Buffer.from(text);
        const expected = EventSplitter.create().push(bytes);
        fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: bytes.length })), cuts => {
            const splitter = EventSplitter.create();
            const at = [0, ...cuts.sort((left, right) => left - right), bytes.length];
            const events = at.slice(1).flatMap((end, index) => splitter.push(bytes.subarray(at[index], end)));
            assert.deepEqual(events.map(({ id }) => id), expected.map(({ id }) => id));
            assert.ok(
                Buffer.concat(events.map(event => event.bytes)).equals(
                    Buffer.concat(expected.map(event => event.bytes)),
                ),
            );
        }));
    });
});
