import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RelayChains } from "../../../../src/request/relay/chains/relayChains.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";
import { SuspectBench } from "../streams/suspectBench.ts";

const silentMilliseconds = 1_500;
const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));

describe("LinkAdmission", () => {
    // Guards against refusals of all streams over a link because one of them waits for a silent endpoint, not for the link.
    it("keeps a link open if the stream that waits is known to wait for a silent endpoint", async () => {
        const endpoints = [
            createEndpoint("1", { layers: { start: 0, end: 40 } }),
            ...["2", "3"].map(id => createEndpoint(id, { layers: { start: 40, end: 80 }, dataCentre: "b" })),
        ];
        const stream: SuspectBench = SuspectBench.create({
            endpoints,
            isResumable: false,
            fetchReport: () => {
                const { address } = stream.relay.attempts.getStages()![1]!.endpoint;
                return Promise.resolve({ stalled: [{ requestId: "request", address }] } as never);
            },
        });
        const { bench } = stream;
        await bench.clock.advance(silentMilliseconds);
        const task = bench.createTask(RequestKind.Stream, false);
        const chains = RelayChains.create(bench.environment, task, { ...relayModel, kinds }, {
            getOnlyAllowedIds: () => undefined,
        });
        // Without the silent endpoint's stream the other endpoint gets the new request.
        assert.ok(chains.choose({ avoid: new Set(), mayOvercommit: false, ignoresLinks: true }));
        assert.ok(chains.choose({ avoid: new Set(), mayOvercommit: false }));
    });
});
