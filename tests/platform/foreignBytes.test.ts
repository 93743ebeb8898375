// Guards against bytes of an endpoint that are no event and reached callers inside complete answers, because an empty line followed them.
import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { LinkCut } from "../../standins/network/linkCut.ts";
import type { EndpointBehaviour } from "../../standins/router/endpointBehaviour.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const layers = { from: 0, to: 8 };
const eventCount = 5;
const requestCount = 8;
/** The retry budget of a node would end some of these streams. */
const unlimitedRepeats = 100_000;
/** Time after which a node without links to the endpoints uses those of its peer, in milliseconds. */
const settleMilliseconds = 3_000;
const forms: Readonly<Record<string, string>> = {
    "a line of text": "upstream connect error or disconnect/reset before headers\n\n",
    "a line like a header": "Error: no upstream\n\n",
    "the page of a proxy": "<html>\r\n<head><title>502 Bad Gateway</title></head>\r\n\r\n<body></body></html>\r\n\r\n",
    "an event without a number": "data: more\n\n",
    "random bytes with empty lines": "\x8f\x01\xc3\n\n\x00\x7f\n\n\n\xfe",
};
/** Events that come before the foreign bytes: none, some and all. */
const positions = [0, 2, eventCount];
const eventsPattern = /^(?:id: \d+\ndata: m[12]\n\n)*$/;
const allIds = Array.from({ length: eventCount }, (_item, index) => index + 1);

describe("Bytes of an endpoint that are no event", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    before(async () => {
        harness = await RouterTestHarness.create();
        harness.repeatSlack = unlimitedRepeats;
        await harness.addEndpoint("m1", "model", layers);
        await harness.addEndpoint("m2", "model", layers);
        harness.putWholePlacement();
        node = await harness.addNode(undefined, await harness.createLinks());
        await harness.addNode();
        for (const started of harness.nodes) {
            await harness.waitForEndpoints(started, 2);
        }
    });

    afterEach(() => {
        setBehaviour({}, "m1");
        setBehaviour({}, "m2");
    });

    after(() => harness.close());

    function setBehaviour(behaviour: EndpointBehaviour, id: string): void {
        const endpoint = harness.endpoints.get(id)!;
        endpoint.behaviour = behaviour;
        endpoint.runs.length = 0;
    }

    const getIds = (body: string) => [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
    const send = (path: string) => Promise.all(Array.from({ length: requestCount }, () => harness.send(node, path)));

    function addTests(): void {
        for (const [name, bytes] of Object.entries(forms)) {
            for (const afterEvent of positions) {
                for (const continues of [false, true]) {
                    const suffix = `${name} after event ${afterEvent}, then ${
                        continues ? "the rest" : "a regular end"
                    }`;
                    it(`don't reach a caller, whose stream goes on at another endpoint: ${suffix}`, async () => {
                        setBehaviour({ foreignBytes: { afterEvent, bytes, continues } }, "m1");
                        // New requests avoid the endpoint for a while after each foreign answer.
                        for (let round = 0; round < 20 && harness.endpoints.get("m1")!.runs.length === 0; round++) {
                            for (const { status, body, isComplete } of await send("/model/x")) {
                                assert.deepEqual([status, getIds(body), isComplete], [200, allIds, true]);
                                assert.match(body, eventsPattern);
                            }
                        }
                        assert.notEqual(harness.endpoints.get("m1")!.runs.length, 0, "The endpoint got no request.");
                    });

                    it(`break off a stream that may not go on elsewhere: ${suffix}`, async () => {
                        setBehaviour({ foreignBytes: { afterEvent, bytes, continues } }, "m1");
                        setBehaviour({ foreignBytes: { afterEvent, bytes, continues } }, "m2");
                        for (const { status, body, isComplete } of await send("/once/x")) {
                            if (afterEvent === 0) {
                                assert.equal(status, 502);
                                continue;
                            }
                            assert.deepEqual([status, getIds(body), isComplete], [
                                200,
                                allIds.slice(0, afterEvent),
                                false,
                            ]);
                            assert.match(body, eventsPattern);
                        }
                    });
                }
            }
        }
    }

    addTests();

    describe("through a peer", () => {
        before(async () => {
            node.links.setCut(LinkCut.RefuseNew);
            await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
        });

        addTests();
    });

    it("make their endpoint get fewer requests", async () => {
        node.links.setCut(LinkCut.None);
        await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
        setBehaviour({ foreignBytes: { afterEvent: 1, bytes: forms["a line of text"]!, continues: false } }, "m1");
        for (let round = 0; round < 20; round++) {
            await send("/model/x");
        }
        const [faulty = 0, sound = 0] = ["m1", "m2"].map(id => harness.endpoints.get(id)!.runs.length);
        assert.ok(faulty * 4 < sound, `The faulty endpoint ran ${faulty} requests, the sound one ${sound}.`);
    });
});
