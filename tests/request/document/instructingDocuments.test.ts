import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { RawEndpoint } from "../../../standins/network/rawEndpoint.ts";
import { NodeFixture } from "../../connection/caller/nodeFixture.ts";

const refusal = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 4\r\n\r\nbusy";
const pauseMilliseconds = 1_000;
/** Time over which callers return after a pause. */
const spreadMilliseconds = 500;
const answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const leavingAnswer = "HTTP/1.1 200 OK\r\nserver-leaving: 1\r\ncontent-length: 2\r\n\r\nok";

// Guards against sending calls to document services of a node of its own that have asked for a pause or announced that they leave.
describe("document services that instruct the node", () => {
    let fixture: NodeFixture;
    let endpoints: RawEndpoint[];

    beforeEach(async () => {
        endpoints = [await RawEndpoint.create(), await RawEndpoint.create()];
        const [first, second] = endpoints.map(endpoint => endpoint.getAddress());
        fixture = await NodeFixture.create({ addresses: { "document-1": first!, "document-2": second! } });
    });

    afterEach(async () => {
        await fixture.close();
        for (const endpoint of endpoints) {
            await endpoint.close();
        }
    });

    function respond(endpoint: RawEndpoint, text: string): void {
        endpoint.options = { onRequest: socket => socket.write(text) };
    }

    function respondAll(text: string): void {
        for (const endpoint of endpoints) {
            respond(endpoint, text);
        }
    }

    async function callRepeatedly(service: string, milliseconds: number): Promise<Set<number>> {
        const statuses = new Set<number>();
        const endsAt = performance.now() + milliseconds;
        while (performance.now() < endsAt) {
            const headers: Record<string, string> = {};
            if (service === "receipts") {
                headers["idempotency-key"] = NodeFixture.createKey();
            }
            statuses.add((await fixture.post(`/v1/services/${service}/a`, "x", headers)).status);
        }
        return statuses;
    }

    for (const service of ["receipts", "summaries"]) {
        it(`get one ${service} call each in a pause, although callers repeat at once, and calls again after it`, async () => {
            respondAll(refusal);
            const statuses = await callRepeatedly(service, 800);
            assert.deepEqual([...statuses], [503]);
            assert.ok(endpoints.every(({ requests }) => requests.length <= 1));
            respondAll(answer);
            await wait(500);
            assert.deepEqual([...await callRepeatedly(service, 100)], [200]);
        });
    }

    it("are named in the retry delay of a refused caller", async () => {
        respondAll(refusal);
        const startedAt = performance.now();
        while (endpoints.some(({ requests }) => requests.length === 0)) {
            await fixture.post("/v1/services/summaries/a", "x");
        }
        const refused = await fixture.post("/v1/services/summaries/a", "x");
        const delay = Number(refused.headers["retry-after-ms"]);
        const returnsAfter = performance.now() - startedAt + delay;
        assert.equal(refused.status, 503);
        assert.ok(returnsAfter >= pauseMilliseconds, `The caller returns ${returnsAfter} ms after the first refusal.`);
        assert.ok(delay <= pauseMilliseconds + spreadMilliseconds, `The retry delay is ${delay} ms.`);
    });

    it("have an idempotent call that one of them refuses answered by the other", async () => {
        const [first, second] = endpoints as [RawEndpoint, RawEndpoint];
        respond(first, answer);
        respond(second, answer);
        // Fills the retry budget.
        for (let round = 0; round < 100; round += 1) {
            await fixture.post("/v1/services/summaries/a", "x");
        }
        respond(first, refusal);
        assert.deepEqual([...await callRepeatedly("summaries", 500)], [200]);
        assert.ok(second.requests.length > 0);
    });

    it("get no more calls once they have announced that they leave", async () => {
        const [first, second] = endpoints as [RawEndpoint, RawEndpoint];
        respond(first, leavingAnswer);
        respond(second, answer);
        const statuses = await callRepeatedly("receipts", 800);
        assert.deepEqual([first.requests.length, [...statuses]], [1, [200]]);
    });
});
