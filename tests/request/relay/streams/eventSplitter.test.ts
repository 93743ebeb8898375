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
        const ids = lines.map(line => EventSplitter.create().push(Buffer.from(`data: a\n${line}\ndata: b\n\n`))[0]?.id);
        assert.deepEqual(ids, [undefined, undefined, undefined, undefined, undefined, 12, 5, 1]);
    });

    // Guards against a reader that is too strict, which would cut the streams of sound endpoints.
    it("takes all that an event stream may hold", () => {
        const events = [
            "id: 1\ndata: a\n\n",
            ": comment\n\n",
            ":\n:\n\n",
            "\n\n",
            "weight-versions: 3\nid: 2\ndata: <html>\ndata: Error: b\n\n",
            "event: token\r\nid:3\r\ndata\r\n\r\n",
            "retry: 500\nid: 4\ndata: \u00e9\u0000\ufffd\n\n",
            "data: before the id\nid: 5\n: comment\n\n",
            "\nid: 6\n\n",
        ];
        const splitter = EventSplitter.create();
        const taken = splitter.push(Buffer.from(events.join("")));
        assert.deepEqual(taken.map(({ bytes }) => bytes.toString()), events);
        assert.ok(!splitter.isInvalid() && !splitter.hasIncompleteEvent());
    });

    // Guards against bytes of a faulty endpoint that passed as an event, since an empty line followed them.
    it("returns nothing from the first bytes on that are no event", () => {
        const foreign = [
            "upstream connect error\n\n",
            "Error: no upstream\n\n",
            "<html>\n<body>\n\n</body></html>",
            '{"error":"no upstream"}\n\n',
            "data: without a number\n\n",
            "id: x\ndata: not a number\n\n",
            "id: 99999999999999999999\ndata: no exact number\n\n",
            "id: 8\nupstream connect error\ndata: x\n\n",
            "\u0000\u0000\n\n",
            "\rid: 8\n\n",
            " id: 8\n\n",
        ];
        for (const bytes of foreign) {
            const splitter = EventSplitter.create();
            const events = splitter.push(Buffer.from(`id: 1\ndata: a\n\n${bytes}id: 2\ndata: b\n\n`));
            assert.deepEqual(events.map(({ id }) => id), [1], bytes);
            assert.ok(splitter.isInvalid());
            assert.deepEqual(splitter.push(Buffer.from("id: 3\ndata: c\n\n")), []);
        }
    });

    it("recognizes bytes that are no event at the end of their first line", () => {
        const splitter = EventSplitter.create();
        splitter.push(Buffer.from("upstream connect"));
        assert.ok(!splitter.isInvalid());
        splitter.push(Buffer.from(" error\n"));
        assert.ok(splitter.isInvalid());
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
