import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DocumentRelay } from "../../../../src/request/relay/documents/documentRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { createSeededRandom } from "../../../support/createSeededRandom.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint } from "../relayModel.ts";

const ids = ["1", "2", "3"];
const pausingAddress = createEndpoint("1").address;
const slots = 6;
const pauseMilliseconds = 1_000;
const intervalMilliseconds = 26;
const windowMilliseconds = 3_000;
const answerMilliseconds = 50;

function createBench(seed: number): RelayBench {
    const bench = RelayBench.create(ids.map(id => createEndpoint(id, { slots })));
    return Object.assign(bench, { environment: { ...bench.environment, random: createSeededRandom(seed) } });
}

function send(bench: RelayBench): RelayBench["sentRequests"][number] {
    const dueAt = bench.clock.getMonotonicTime() + windowMilliseconds;
    const task = { ...bench.createTask(RequestKind.NonIdempotent), dueAt };
    DocumentRelay.start(bench.environment, task, () => undefined);
    return bench.sentRequests.at(-1)!;
}

function answer({ listener }: RelayBench["sentRequests"][number]): void {
    listener.onHead(200, { "request-id": "request", "response-seal": "seal" });
    listener.onEnd();
}

function refuse({ listener }: RelayBench["sentRequests"][number], headers: Record<string, string>): void {
    listener.onHead(503, { "request-id": "request", "not-executed": "1", ...headers });
    listener.onEnd();
}

/** Sends requests at an even rate that all endpoints answer. Returns how many the first endpoint got. */
async function countAtFirst(bench: RelayBench): Promise<number> {
    let count = 0;
    for (let time = 0; time < windowMilliseconds; time += intervalMilliseconds) {
        const request = send(bench);
        count += Number(request.address === pausingAddress);
        bench.clock.setTimer(answerMilliseconds, () => answer(request));
        await bench.clock.advance(intervalMilliseconds);
    }
    return count;
}

/** Lets all endpoints be full. The first one then refuses what it has in progress, and the others answer. */
async function refuseAtFirst(bench: RelayBench, headers: Record<string, string>): Promise<void> {
    const requests = Array.from({ length: slots * ids.length }, () => send(bench));
    const refused = requests.filter(({ address }) => address === pausingAddress);
    assert.ok(refused.length >= slots - 1, `The first endpoint got ${refused.length} requests.`);
    for (const request of refused) {
        refuse(request, headers);
    }
    for (const request of bench.sentRequests.filter(sent => !refused.includes(sent))) {
        answer(request);
    }
    await bench.clock.advance(pauseMilliseconds);
}

describe("The choice of an endpoint for a document request", () => {
    // Guards against keeping an endpoint without requests for seconds after the pause that it asked for: the refusals of the requests
    // that it had in progress counted as failures too.
    it("gives an endpoint its share again as soon as the pause that it asked for ends", async () => {
        for (let seed = 1; seed <= 5; seed++) {
            const bench = createBench(seed);
            await refuseAtFirst(bench, { "retry-after": String(pauseMilliseconds / 1_000) });
            const count = await countAtFirst(bench);
            const total = windowMilliseconds / intervalMilliseconds;
            assert.ok(
                count > total / ids.length / 2,
                `With seed ${seed} it got ${count} of ${total.toFixed(0)} requests.`,
            );
        }
    });

    it("still avoids an endpoint that refuses requests without asking for a pause", async () => {
        const bench = createBench(1);
        await refuseAtFirst(bench, {});
        assert.equal(await countAtFirst(bench), 0);
    });
});
