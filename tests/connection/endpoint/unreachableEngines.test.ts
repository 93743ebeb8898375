import assert from "node:assert/strict";
import { connect, Socket } from "node:net";
import { after, afterEach, before, describe, it } from "node:test";
import type { CreateSocket } from "../../../src/connection/upstream/path/createSocket.ts";
import { NodeFixture } from "../caller/nodeFixture.ts";

/** Time from the cut after which the node must serve as before, in milliseconds. */
const settleMilliseconds = 3_000;
const requestCount = 10;
const closedPort = 1;

/** How new connections of the node end; undefined while its links work. */
type Cut = "silent" | "refused" | undefined;

describe("A node without links to the engines and document services", () => {
    let cut: Cut;
    let fixture: NodeFixture;
    const sockets = new Set<Socket>();

    const createSocket: CreateSocket = ({ host, port }) => {
        if (cut === "silent") {
            return new Socket();
        }
        const socket = connect({ host, port: cut === "refused" ? closedPort : port, noDelay: true });
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        return socket;
    };

    before(async () => {
        fixture = await NodeFixture.create({ createSocket, hasPeer: true });
    });

    afterEach(async () => {
        cut = undefined;
        await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
    });

    after(() => fixture.close());

    /** Sends chat requests and calls to a document service, and returns the statuses of the failed answers. */
    async function listFailures(): Promise<number[]> {
        const statuses: number[] = [];
        for (let count = 0; count < requestCount; count++) {
            const chat = await fixture.chat();
            const document = await fixture.post("/v1/services/summaries/a", "x");
            statuses.push(chat.status, document.status);
        }
        return statuses.filter(status => status !== 200);
    }

    // The node took its lost links for lost endpoints and refused all requests, although its peer reached all of them.
    for (const next of ["refused", "silent"] as const) {
        it(`serves its callers through its peer (${next})`, async () => {
            assert.deepEqual(await listFailures(), []);
            cut = next;
            for (const socket of sockets) {
                socket.resetAndDestroy();
            }
            await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
            assert.deepEqual(await listFailures(), []);
        });
    }
});
