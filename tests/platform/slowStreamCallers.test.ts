// Guards against a node that reads a stream as fast as its endpoint sends it, whoever takes it: what slow callers had not taken filled the
// memory of nodes, these were killed, and their callers lost the answers of sound endpoints.
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { LinkCut } from "../../standins/network/linkCut.ts";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { createPatientConfiguration } from "../../standins/router/createPatientConfiguration.ts";
import { FastEndpoint } from "../../standins/router/fastEndpoint.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const layers = { from: 0, to: 8 };
const eventBytes = 4_096;
const eventCount = 20_000;
/** What the sockets between the endpoint, the nodes and the caller hold at most, and the nodes beside them. */
const maximumUnreadBytes = 30_000_000;
const unreadMilliseconds = 1_500;

describe("A caller that takes a stream slowly", () => {
    let harness: RouterTestHarness;
    let endpoint: FastEndpoint;
    let node: StartedNode;
    let cutNode: StartedNode;
    let startedBefore = 0;

    before(async () => {
        harness = await RouterTestHarness.create();
        harness.store.put("op/config", createPatientConfiguration(2));
        endpoint = await FastEndpoint.create({ eventBytes, eventCount });
        const address = endpoint.getAddress();
        harness.store.put("servers/fast", createEndpointRecord({ service: "model", address, layers }));
        harness.putWholePlacement();
        const links = await harness.createLinks();
        await links.add(address);
        node = await harness.addNode();
        cutNode = await harness.addNode(undefined, links);
        for (const started of [node, cutNode]) {
            await harness.waitForEndpoints(started, 1);
        }
    });

    after(async () => {
        await harness.close();
        await endpoint.close();
    });

    /** Sends requests on one connection, and reads nothing yet. */
    function begin(paths: readonly string[], { address } = node): Socket {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port) });
        socket.on("error", () => undefined);
        for (const [index, path] of paths.entries()) {
            const fields = [
                "host: one.example",
                `request-id: slow-${path}-${index}-${Math.random()}`,
                `authorization: Bearer ${callerKey}`,
                "request-deadline-ms: 60000",
                "content-length: 0",
            ];
            socket.write(`POST ${path} HTTP/1.1\r\n${fields.join("\r\n")}\r\n\r\n`);
        }
        return socket;
    }

    /** Waits until streams have begun, and some time more in which nothing is read, and checks what the nodes have taken then. */
    async function leaveUnread(streams: number): Promise<void> {
        await waitUntil("the streams have begun", () => endpoint.started >= startedBefore + streams);
        startedBefore = endpoint.started;
        await wait(unreadMilliseconds);
        assert.equal(endpoint.countRunning(), streams, "The nodes took whole answers that nobody read.");
        const bytes = endpoint.countUnfinishedBytes();
        assert.ok(bytes < maximumUnreadBytes, `The nodes took ${bytes} bytes of what nobody read.`);
    }

    async function readWhole(socket: Socket): Promise<string> {
        let text = "";
        socket.setEncoding("latin1");
        socket.on("data", data => text += String(data));
        await waitUntil("the answer is complete", () => text.endsWith("\r\n0\r\n\r\n"));
        socket.destroy();
        return text;
    }

    for (const path of ["/model/x", "/once/x"]) {
        it(`has its endpoint wait, and gets its whole answer: ${path}`, async () => {
            const socket = begin([path]);
            await leaveUnread(1);
            const text = await readWhole(socket);
            const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
            assert.deepEqual(ids, Array.from({ length: eventCount }, (_, index) => index + 1));
        });
    }

    it("has the endpoints of streams wait that are behind another one on its connection", async () => {
        const socket = begin(["/model/x", "/model/x", "/model/x"]);
        await leaveUnread(3);
        socket.destroy();
        await waitUntil("the streams have ended", () => endpoint.countRunning() === 0);
    });

    it("is noticed at once if it leaves", async () => {
        const socket = begin(["/model/x"]);
        await leaveUnread(1);
        socket.destroy();
        const leftAt = performance.now();
        await waitUntil("the stream has ended", () => endpoint.countRunning() === 0);
        assert.ok(performance.now() - leftAt < 500, "The endpoint ran on.");
    });

    it("has its endpoint wait if a peer passes the stream on, and gets its whole answer", async () => {
        cutNode.links.setCut(LinkCut.Reset);
        const socket = begin(["/model/x"], cutNode);
        await leaveUnread(1);
        const text = await readWhole(socket);
        assert.equal(text.match(/^id: \d+$/gm)?.length, eventCount);
        cutNode.links.setCut(LinkCut.None);
    });
});
