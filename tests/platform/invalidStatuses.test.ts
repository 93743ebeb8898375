import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { LinkCut } from "../../standins/network/linkCut.ts";
import type { EndpointBehaviour } from "../../standins/router/endpointBehaviour.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Time after which a node without links to the endpoints uses those of its peer, in milliseconds. */
const settleMilliseconds = 3_000;
const invalidStatuses = ["000", "0", "099", "20", "600", "700", "999", "1000", "2x0"];
const body = "odd";
const informationalHead = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";

// Guards against an answer whose status is none being passed on as an answer, with the endpoint's signature.
describe("An answer with a status that is none", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    before(async () => {
        harness = await RouterTestHarness.create();
        await harness.addReplicas(2);
        node = await harness.addNode(undefined, await harness.createLinks());
        await harness.addNode();
        for (const started of harness.nodes) {
            await harness.waitForEndpoints(started, 6);
        }
    });

    afterEach(() => setBehaviour({}));

    after(() => harness.close());

    function setBehaviour(behaviour: EndpointBehaviour): void {
        for (const endpoint of harness.endpoints.values()) {
            endpoint.behaviour = behaviour;
        }
    }

    function createAnswer(status: string, requestId: string): string {
        const headers = [`request-id: ${requestId}`, "response-seal: s", `content-length: ${body.length}`];
        return `HTTP/1.1 ${status} Odd\r\n${headers.join("\r\n")}\r\n\r\n${body}`;
    }

    const getIds = (text: string) => [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));

    async function assertRefused(path: string): Promise<void> {
        const answer = await harness.send(node, path, { headers: { "request-deadline-ms": "2000" } });
        assert.ok([502, 503, 504].includes(answer.status), String(answer.status));
        assert.equal(answer.headers["response-seal"], undefined);
        assert.doesNotMatch(answer.body, /odd/);
    }

    function addTests(): void {
        for (const status of invalidStatuses) {
            for (const path of ["/safe/x", "/unsafe/x", "/model/x", "/once/x"]) {
                it(`is not passed on from ${path}, with ${status}`, async () => {
                    setBehaviour({ createRawAnswer: id => createAnswer(status, id) });
                    await assertRefused(path);
                });
            }
        }

        for (const path of ["/safe/x", "/model/x"]) {
            it(`is not passed on from ${path} after an informational one`, async () => {
                setBehaviour({ createRawAnswer: id => informationalHead + createAnswer("600", id) });
                await assertRefused(path);
            });
        }

        it("is not passed on where a stream is resumed", async () => {
            setBehaviour({
                breaksOff: (_id, sentEvents) => sentEvents === 2,
                createRawAnswer: (id, lastEventId) => lastEventId > 0 ? createAnswer("600", id) : undefined,
            });
            const answer = await harness.send(node, "/model/x", { headers: { "request-deadline-ms": "2000" } });
            assert.deepEqual([answer.status, getIds(answer.body), answer.isComplete], [200, [1, 2], false]);
            assert.doesNotMatch(answer.body, /odd/);
        });
    }

    describe("over the node's own links", () => addTests());

    describe("through a peer", () => {
        before(async () => {
            node.links.setCut(LinkCut.RefuseNew);
            await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
        });

        addTests();
    });
});
