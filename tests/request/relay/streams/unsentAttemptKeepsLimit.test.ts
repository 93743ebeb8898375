import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));

/** Gets how many requests this node may send to the second endpoint of a stream now, after some events before and a last step. */
function countLeft(step: (stream: SuspectBench) => void): number {
    const stream = SuspectBench.create({ endpoints, isResumable: true });
    const { environment: { limits }, clock } = stream.bench;
    const second = endpoints.find(({ id }) => id !== stream.getFirstId())!;
    limits.noteAnswer(second.id, 10, clock.getMonotonicTime());
    stream.begin();
    limits.take(second, clock.getMonotonicTime());
    limits.refund(second.id);
    step(stream);
    let left = 0;
    while (limits.take(second, clock.getMonotonicTime())) {
        left += 1;
    }
    return left;
}

describe("StreamRelay", () => {
    // Guards against endpoints with a rate limit that get fewer requests than it allows, since attempts that were never sent count.
    it("returns to the rate limit what an attempt took that ends before a byte of it was sent", () => {
        const untouched = countLeft(() => undefined);
        const ends: ((stream: SuspectBench) => void)[] = [
            stream => stream.bench.sentRequests[0]!.listener.onData(Buffer.from("id: 2\ndata: x\n\n")),
            stream => stream.relay.moves.abandonChain([], "the first stage does not answer."),
            stream => stream.bench.leave(),
        ];
        for (const end of ends) {
            const left = countLeft(stream => {
                stream.suspectFirst();
                assert.equal(stream.bench.sentRequests.length, 2);
                end(stream);
            });
            assert.equal(left, untouched);
        }
    });
});
