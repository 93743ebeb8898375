import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { RawEndpoint } from "../../../standins/network/rawEndpoint.ts";
import { NodeFixture } from "../../connection/caller/nodeFixture.ts";
import { documentFaultCases } from "../../connection/document/documentFaultCases.ts";
import { waitUntil } from "../../support/waitUntil.ts";

const unknown = { status: 502, code: "outcome_unknown", outcome: "outcomeUnknown" } as const;
const documentTimeoutMilliseconds = 500;

function createKey(): Record<string, string> {
    return { "idempotency-key": NodeFixture.createKey() };
}

describe("misbehaving document services", () => {
    let fixture: NodeFixture;
    const rawEndpoints: RawEndpoint[] = [];

    before(async () => {
        rawEndpoints.push(await RawEndpoint.create(), await RawEndpoint.create());
        const addresses = { "document-1": rawEndpoints[0]!.getAddress(), "document-2": rawEndpoints[1]!.getAddress() };
        fixture = await NodeFixture.create({ addresses, documentTimeoutMilliseconds });
    });

    after(async () => {
        await fixture.close();
        for (const raw of rawEndpoints) {
            await raw.close();
        }
    });

    function setOptions(options: RawEndpoint["options"]): void {
        for (const raw of rawEndpoints) {
            raw.options = options;
            raw.requests.length = 0;
            raw.connections = 0;
        }
    }

    for (const [fault, options] of Object.entries(documentFaultCases)) {
        it(`receive a non-idempotent call at most once if one ${fault}`, async () => {
            setOptions(options);
            const key = createKey();
            const first = await fixture.post("/v1/services/receipts/a", "x", key);
            NodeFixture.assertError(first, { ...unknown, message: /may have run; it is not repeated/ });
            const repeat = await fixture.post("/v1/services/receipts/a", "x", key);
            NodeFixture.assertError(repeat, { ...unknown, message: /not run again/ });
            assert.equal(rawEndpoints[0]!.connections + rawEndpoints[1]!.connections, 1);
        });
    }

    it("do not crash the node", () => fixture.assertServes());
});

describe("a failing document endpoint next to a working one", () => {
    let fixture: NodeFixture;
    let raw: RawEndpoint;

    before(async () => {
        raw = await RawEndpoint.create();
        const addresses = { "document-1": raw.getAddress() };
        fixture = await NodeFixture.create({ addresses, documentTimeoutMilliseconds });
        raw.options = { onRequest: socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n") };
        // Fills the retry budget that the tests below use.
        for (let round = 0; round < 100; round += 1) {
            await fixture.post("/v1/services/summaries/a", "x");
        }
    });

    after(async () => {
        await fixture.close();
        await raw.close();
    });

    for (const [fault, options] of Object.entries(documentFaultCases)) {
        it(`has its idempotent calls retried at the other endpoint if it ${fault}`, async () => {
            raw.options = options;
            raw.connections = 0;
            for (let round = 0; raw.connections === 0 && round < 100; round += 1) {
                const answer = await fixture.post("/v1/services/summaries/a", "x");
                assert.equal(answer.status, 200, answer.text);
                assert.match(answer.text, /"service":"document-2"/);
            }
            assert.ok(raw.connections > 0);
        });
    }
});

describe("document services whose other endpoints are full for a moment after a connection broke", () => {
    const refusal = "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n";
    const completeAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

    async function callWhileFull(service: string, fullMilliseconds: number) {
        let brokenAt: number | undefined;
        let refusals = 0;
        const onRequest = (socket: Socket) => {
            if (brokenAt === undefined) {
                brokenAt = Date.now();
                socket.destroy();
                return;
            }
            const isFull = Date.now() - brokenAt < fullMilliseconds;
            refusals += Number(isFull);
            socket.write(isFull ? refusal : completeAnswer);
        };
        const endpoints = [await RawEndpoint.create({ onRequest }), await RawEndpoint.create({ onRequest })];
        const [first, second] = endpoints.map(endpoint => endpoint.getAddress());
        const fixture = await NodeFixture.create({ addresses: { "document-1": first!, "document-2": second! } });
        const answer = await fixture.post(`/v1/services/${service}/a`, "x", service === "receipts" ? createKey() : {});
        await fixture.close();
        for (const endpoint of endpoints) {
            await endpoint.close();
        }
        return { answer, refusals, milliseconds: Date.now() - (brokenAt ?? 0) };
    }

    // Guards against 502 within milliseconds: a refusal without a run ended an idempotent call that may have run.
    it("answer an idempotent call once one of them accepts it", async () => {
        const { answer, refusals } = await callWhileFull("summaries", 700);
        assert.equal(answer.status, 200, answer.text);
        assert.ok(refusals < 8, `${refusals} refusals`);
    });

    it("end an idempotent call after a limited time, and any other call at once", async () => {
        const idempotent = await callWhileFull("summaries", Infinity);
        assert.equal(idempotent.answer.status, 502);
        assert.ok(idempotent.milliseconds > 1_000 && idempotent.refusals < 12, JSON.stringify(idempotent));
        const other = await callWhileFull("receipts", Infinity);
        NodeFixture.assertError(other.answer, { ...unknown, message: /may have run; it is not repeated/ });
        assert.equal(other.refusals, 0);
    });
});

describe("document services that refuse most calls", () => {
    const refusal = "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n";
    const completeAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    const otherCallers = 8;
    const calls = 6;

    // Guards against 502 for calls that may have run: calls that surely had not run used up the retry budget.
    it("answer the calls whose first connection broke", async () => {
        const broken = new Set<string>();
        const onRequest = (socket: Socket, request: string) => {
            const path = request.split(" ")[1]!;
            if (!path.startsWith("/may-have-run")) {
                socket.write(refusal);
                return;
            }
            if (broken.has(path)) {
                socket.write(completeAnswer);
                return;
            }
            broken.add(path);
            socket.destroy();
        };
        const endpoints = [await RawEndpoint.create({ onRequest }), await RawEndpoint.create({ onRequest })];
        const [first, second] = endpoints.map(endpoint => endpoint.getAddress());
        const fixture = await NodeFixture.create({ addresses: { "document-1": first!, "document-2": second! } });
        const statuses: number[] = [];
        let isDone = false;
        let refused = 0;
        const callOthers = async () => {
            while (!isDone) {
                const answer = await fixture.post("/v1/services/summaries/not-run", "x");
                refused += Number(answer.status === 503);
            }
        };
        const others = Array.from({ length: otherCallers }, callOthers);
        await waitUntil("the other calls have used up the retries", () => refused > 100);
        for (let call = 0; call < calls; call += 1) {
            statuses.push((await fixture.post(`/v1/services/summaries/may-have-run/${call}`, "x")).status);
        }
        isDone = true;
        await Promise.all(others);
        await fixture.close();
        for (const endpoint of endpoints) {
            await endpoint.close();
        }
        assert.deepEqual(statuses, new Array(calls).fill(200));
    });
});

describe("document services whose endpoints refuse connections", () => {
    it("answer a call as not run, so that it may be repeated", async () => {
        const raw = await RawEndpoint.create();
        const address = raw.getAddress();
        await raw.close();
        const fixture = await NodeFixture.create({ addresses: { "document-1": address, "document-2": address } });
        const key = createKey();
        for (let repeat = 0; repeat < 2; repeat += 1) {
            const answer = await fixture.post("/v1/services/receipts/a", "x", key);
            NodeFixture.assertError(answer, { status: 503, code: "no_endpoint", outcome: "notRun", message: /./ });
            assert.ok(Number(answer.headers["retry-after"]) > 0);
            assert.ok(Number(answer.headers["retry-after-ms"]) > 0);
        }
        await fixture.close();
    });
});

describe("paths of document services", () => {
    it("reach the service unchanged", async () => {
        const raw = await RawEndpoint.create({
            onRequest: socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"),
        });
        const address = raw.getAddress();
        const fixture = await NodeFixture.create({ addresses: { "document-1": address, "document-2": address } });
        const paths = [
            ["/v1/services/summaries/a/b?c=d%20e&f=/v1/services/x", "/a/b?c=d%20e&f=/v1/services/x"],
            ["/v1/services/summari%65s/%C3%B1", "/%C3%B1"],
            [`/v1/services/${encodeURIComponent("liquidación")}/pdf`, "/pdf"],
            ["/v1/services/summaries/", "/"],
        ];
        for (const [sent, expected] of paths) {
            raw.requests.length = 0;
            const answer = await fixture.post(sent!, "x");
            assert.equal(answer.status, 200, answer.text);
            assert.equal(raw.requests[0]!.split(" ")[1], expected);
        }
        await fixture.close();
        await raw.close();
    });
});
