import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "../streams/suspectBench.ts";

const layers = { start: 0, end: 80 };
const reportTimeoutMilliseconds = 350;
const silenceMilliseconds = 3_000;
const stepMilliseconds = 10;

describe("StallDetector", () => {
    // Guards against new requests on an endpoint that is silent all the while and is being checked.
    it("keeps an endpoint suspect for as long as it doesn't answer", async () => {
        const stream: SuspectBench = SuspectBench.create({
            endpoints: ["1", "2"].map(id => createEndpoint(id, { layers })),
            isResumable: false,
            fetchReport: () =>
                new Promise(resolve => {
                    stream.bench.clock.setTimer(reportTimeoutMilliseconds, () => resolve(undefined));
                }),
        });
        stream.begin();
        const { clock, environment: { health } } = stream.bench;
        const first = stream.getFirstId();
        let unsuspectedMilliseconds = 0;
        let wasSuspect = false;
        for (let at = 0; at < silenceMilliseconds; at += stepMilliseconds) {
            await clock.advance(stepMilliseconds);
            const isSuspect = health.isSuspect(first, clock.getMonotonicTime());
            unsuspectedMilliseconds += wasSuspect && !isSuspect ? stepMilliseconds : 0;
            wasSuspect ||= isSuspect;
        }
        assert.ok(wasSuspect);
        assert.equal(unsuspectedMilliseconds, 0);
    });
});
