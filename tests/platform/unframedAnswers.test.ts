import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { LinkCut } from "../../standins/network/linkCut.ts";
import type { EndpointBehaviour } from "../../standins/router/endpointBehaviour.ts";
import type { RunRecord } from "../../standins/router/runRecord.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const eventCount = 5;
/** Time after which a node without links to the endpoints uses those of its peer, in milliseconds. */
const settleMilliseconds = 3_000;
const requestCount = 10;

// Guards against an answer that looks complete to the caller although its endpoint broke it off, where only the end of the connection
// ends the answer.
describe("An answer with neither a length nor chunks", () => {
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

    afterEach(() => {
        setBehaviour({});
        for (const { runs } of harness.endpoints.values()) {
            runs.length = 0;
        }
    });

    after(() => harness.close());

    function setBehaviour(behaviour: EndpointBehaviour, ids = [...harness.endpoints.keys()]): void {
        for (const id of ids) {
            harness.endpoints.get(id)!.behaviour = behaviour;
        }
    }

    const listRuns = (): RunRecord[] => [...harness.endpoints.values()].flatMap(({ runs }) => runs);
    /** Lists the connections of the runs: different connections may have the same client port, but not at the same endpoint. */
    const listConnections = () =>
        [...harness.endpoints].flatMap(([id, { runs }]) => runs.map(({ port }) => `${id} ${port}`));
    const getIds = (body: string) => [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
    const allIds = Array.from({ length: eventCount }, (_item, index) => index + 1);

    function addTests(): void {
        for (const path of ["/safe/x", "/unsafe/x"]) {
            it(`of ${path} that is closed regularly is whole, and its connection is not used again`, async () => {
                setBehaviour({ unframedEnd: "close" });
                for (let count = 0; count < requestCount; count++) {
                    const { status, body, isComplete } = await harness.send(node, path);
                    assert.deepEqual([status, isComplete], [200, true]);
                    assert.match(body, /^answer of d[12]$/);
                }
                assert.equal(new Set(listConnections()).size, requestCount);
                assert.equal(listRuns().length, requestCount);
            });
        }

        it("of a document that is reset is repeated elsewhere if it may be", async () => {
            setBehaviour({ unframedEnd: "reset" }, ["d1"]);
            for (let count = 0; count < 4; count++) {
                const { status, body } = await harness.send(node, "/safe/x");
                assert.deepEqual([status, body], [200, "answer of d2"]);
            }
        });

        it("of a document that is reset is reported as unknown if it may not be repeated", async () => {
            setBehaviour({ unframedEnd: "reset" });
            assert.equal((await harness.send(node, "/unsafe/x")).status, 502);
            assert.equal(listRuns().length, 1);
        });

        for (const path of ["/model/x", "/once/x"]) {
            it(`of ${path} that is closed regularly is whole, and its connection is not used again`, async () => {
                setBehaviour({ unframedEnd: "close" });
                for (let count = 0; count < requestCount; count++) {
                    const { status, body, isComplete } = await harness.send(node, path);
                    assert.deepEqual([status, getIds(body), isComplete], [200, allIds, true]);
                }
                assert.equal(new Set(listConnections()).size, requestCount);
                assert.equal(listRuns().length, requestCount);
            });
        }

        for (const unframedEnd of ["close", "reset"] as const) {
            it(`of a stream that ends inside an event by a ${unframedEnd} is resumed if it may be`, async () => {
                setBehaviour({ unframedEnd, cutsAfterEvent: 2 }, ["a1"]);
                for (let count = 0; count < 6; count++) {
                    const { body, isComplete } = await harness.send(node, "/model/x");
                    assert.deepEqual([getIds(body), isComplete], [allIds, true]);
                }
            });

            it(`of a stream that ends inside an event by a ${unframedEnd} is broken off if it may not be resumed`, async () => {
                setBehaviour({ unframedEnd, cutsAfterEvent: 2 });
                const { body, isComplete } = await harness.send(node, "/once/x");
                assert.deepEqual([getIds(body), isComplete], [[1, 2], false]);
                assert.equal(listRuns().length, 1);
            });

            it(`of a stream that ends inside each event by a ${unframedEnd} runs no more often than its route allows`, async () => {
                setBehaviour({ unframedEnd, cutsAfterEvent: 1 });
                const { body, isComplete } = await harness.send(node, "/model/x");
                assert.deepEqual([getIds(body), isComplete], [[1], false]);
                assert.equal(listRuns().length, 2);
            });
        }

        it("of a stream that is reset after its last event is resumed after it if it may be", async () => {
            setBehaviour({ unframedEnd: "close" });
            setBehaviour({ unframedEnd: "reset" }, ["a1"]);
            for (let count = 0; count < 6; count++) {
                const { body, isComplete } = await harness.send(node, "/model/x");
                assert.deepEqual([getIds(body), isComplete], [allIds, true]);
            }
        });

        it("of a stream that is reset after its last event is broken off if it may not be resumed", async () => {
            setBehaviour({ unframedEnd: "reset" });
            const { body, isComplete } = await harness.send(node, "/once/x");
            assert.deepEqual([getIds(body), isComplete], [allIds, false]);
            assert.equal(listRuns().length, 1);
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
