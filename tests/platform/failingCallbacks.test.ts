// Guards against an error in a callback of one request that ended the whole process, with all other requests of the node.
import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import { endpointProtocol } from "../../platform/endpointProtocol.ts";
import { events } from "../../src/process/logging/events.ts";
import type { EndpointProtocol } from "../../src/request/relay/endpointProtocol.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const layers = { from: 0, to: 8 };
/** More than the slots of all endpoints together, so that slots that are not released show. */
const failingCount = 30;
const otherCount = 10;
const failingBody = "fails";
const failingId = "failing-request";

/** Protocols that fail with one request, each with the status that its caller gets. */
const protocols: Readonly<Record<string, { protocol: EndpointProtocol; status: number; }>> = {
    "creating the request": {
        status: 503,
        protocol: {
            ...endpointProtocol,
            createRequest(request, context) {
                if (request.body.toString() === failingBody) {
                    throw new Error("no request");
                }
                return endpointProtocol.createRequest(request, context);
            },
        },
    },
    "writing the request": {
        status: 503,
        protocol: {
            ...endpointProtocol,
            createRequest(request, context) {
                const created = endpointProtocol.createRequest(request, context);
                return request.body.toString() === failingBody
                    ? { ...created, headers: [...created.headers, "Tenant", "a\nb"] }
                    : created;
            },
        },
    },
    "reading the head of the answer": {
        status: 502,
        protocol: {
            ...endpointProtocol,
            readHead(status, headers, requestId) {
                if (requestId.startsWith(failingId)) {
                    throw new Error("no head");
                }
                return endpointProtocol.readHead(status, headers, requestId);
            },
        },
    },
};

for (const [name, { protocol, status }] of Object.entries(protocols)) {
    describe(`An unexpected error while ${name}`, () => {
        let harness: RouterTestHarness;
        let node: StartedNode;

        before(async () => {
            harness = await RouterTestHarness.create();
            harness.protocol = protocol;
            await harness.addEndpoint("m1", "model", layers);
            await harness.addEndpoint("d1", "documents");
            harness.putWholePlacement();
            node = await harness.addNode();
            await harness.waitForEndpoints(node, harness.endpoints.size);
        });

        beforeEach(() => {
            node.log.numbers.length = 0;
            node.log.fields.length = 0;
        });

        after(() => harness.close());

        for (const path of ["/safe/x", "/unsafe/x", "/model/x", "/once/x"]) {
            it(`ends only this request: ${path}`, async () => {
                for (let number = 0; number < failingCount; number++) {
                    const headers = { "request-id": `${failingId}-${number}` };
                    const failing = harness.send(node, path, { headers, body: failingBody });
                    const others = Array.from({ length: 2 }, () => harness.send(node, path));
                    const answers = await Promise.all([failing, ...others]);
                    assert.deepEqual(answers.map(answer => answer.status), [status, 200, 200]);
                }
                const logged = node.log.numbers.filter(event => event === events.requestCrashed.number);
                assert.equal(logged.length, failingCount);
            });
        }

        it("leaves no slot taken", async () => {
            for (const path of ["/safe/x", "/model/x"]) {
                const sending = Array.from({ length: otherCount }, () => harness.send(node, path));
                for (const answer of await Promise.all(sending)) {
                    assert.deepEqual([answer.status, answer.isComplete], [200, true]);
                }
            }
        });
    });
}
