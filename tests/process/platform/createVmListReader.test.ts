import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createVmListReader } from "../../../src/process/platform/createVmListReader.ts";
import { PlatformErrorKind } from "../../../src/process/platform/platformError.ts";
import { PlatformStandin } from "../../../standins/platform/platformStandin.ts";
import { ManualClock } from "./manualClock.ts";

const vm = { vm: "vm1", state: "live", role: "node", address: "127.0.0.1:9000", dataCentre: "dc1" };

describe("createVmListReader", () => {
    it("reads the list delayed by the lag, and fails as not done during an outage", async context => {
        const clock = ManualClock.create();
        const standin = await PlatformStandin.create({ port: 0, vmListLagMilliseconds: 500, clock });
        context.after(() => standin.close());
        const listVms = createVmListReader({ address: standin.getAddress(), timeoutMilliseconds: 10_000 });
        const url = `http://${standin.getAddress()}/standin/vms/vm1`;

        await fetch(url, { method: "PUT", body: JSON.stringify(vm) });
        clock.advance(499);
        assert.deepEqual((await listVms()).unwrap(), []);
        clock.advance(1);
        assert.deepEqual((await listVms()).unwrap(), [vm]);

        await fetch(url, { method: "PUT", body: JSON.stringify({ ...vm, state: "leaving" }) });
        await fetch(url, { method: "DELETE" });
        assert.deepEqual((await listVms()).unwrap(), [vm]);
        clock.advance(500);
        assert.deepEqual((await listVms()).unwrap(), []);

        standin.setFaults({ down: true });
        const refused = await listVms();
        assert.equal(refused.err && refused.val.kind, PlatformErrorKind.NotDone);
    });
});
