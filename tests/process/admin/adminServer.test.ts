import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { AdminServer } from "../../../src/process/admin/adminServer.ts";
import { Metrics } from "../../../src/process/metrics/metrics.ts";

describe("AdminServer", () => {
    const state = { ready: true, healthy: true, getStatus: (): object => ({ vm: "a" }) };
    const options = {
        listener: "127.0.0.1:0",
        metrics: Metrics.create(),
        isReady: () => ({ ready: state.ready, reason: state.ready ? "Ready." : "Draining." }),
        isHealthy: () => state.healthy,
        getStatus: () => state.getStatus(),
    };
    const server = AdminServer.create(options);
    let address = "";

    before(async () => {
        address = (await server.listen()).unwrap();
    });
    after(() => server.close());

    async function doTest(path: string, status: number, body: RegExp, method = "GET"): Promise<Response> {
        const response = await fetch(`http://${address}${path}`, { method });
        assert.equal(response.status, status);
        assert.match(await response.text(), body);
        return response;
    }

    it("serves metrics", async () => {
        const response = await doTest("/metrics", 200, /foxlead_members 0/);
        assert.match(response.headers.get("content-type") ?? "", /^text\/plain/);
    });

    it("serves readiness with its reason", async () => {
        await doTest("/readyz", 200, /^Ready\.$/m);
        state.ready = false;
        await doTest("/readyz", 503, /^Draining\.$/m);
    });

    it("serves health", async () => {
        await doTest("/healthz", 200, /Healthy/);
        state.healthy = false;
        await doTest("/healthz", 503, /Unhealthy/);
    });

    it("serves the status as JSON and continues to work if creating it fails", async () => {
        await doTest("/status?x=1", 200, /"vm": "a"/);
        state.getStatus = () => {
            throw new Error("broken");
        };
        await doTest("/status", 500, /broken/);
        await doTest("/healthz", 503, /Unhealthy/);
    });

    it("rejects unknown paths and methods other than GET", async () => {
        await doTest("/", 404, /Unknown path/);
        const response = await doTest("/metrics", 405, /Use GET/, "POST");
        assert.equal(response.headers.get("allow"), "GET");
    });

    it("reports an address that is already in use", async () => {
        const result = await AdminServer.create({ ...options, listener: address }).listen();
        assert.ok(result.err);
        assert.match(result.val.message, /adminListener/);
    });
});
