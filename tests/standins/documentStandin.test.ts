import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { DocumentStandin } from "../../standins/document/documentStandin.ts";

async function start(context: TestContext): Promise<DocumentStandin> {
    const service = DocumentStandin.create({ name: "doc-1", delayMilliseconds: 0 });
    context.after(() => service.close());
    await service.listen();
    return service;
}

const call = (service: DocumentStandin): Promise<Response> =>
    fetch(`http://${service.getAddress()}/receipts?x=1`, {
        method: "PUT",
        body: "abc",
        headers: { "idempotency-key": "k" },
    });

describe("DocumentStandin", () => {
    it("responds to any call and counts executions by idempotency key", async context => {
        const service = await start(context);
        await call(service);
        assert.deepEqual(await (await call(service)).json(), {
            service: "doc-1",
            path: "/receipts",
            method: "PUT",
            bodySha256: "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
            execution: 2,
        });
        assert.deepEqual(service.getRecord(), { total: 2, executions: { k: 2 } });
    });

    it("injects refusals and resets, and counts only executed calls", async context => {
        const service = await start(context);
        service.setFaults({ refuseNext: 1 });
        const refused = await call(service);
        assert.deepEqual([refused.status, refused.headers.get("retry-after")], [429, "1"]);
        service.setFaults({ resetBeforeRun: 1 });
        await assert.rejects(call(service));
        assert.equal(service.getRecord().total, 0);
        service.setFaults({ resetAfterRun: 1 });
        await assert.rejects(call(service));
        assert.equal(service.getRecord().total, 1);
    });
});
