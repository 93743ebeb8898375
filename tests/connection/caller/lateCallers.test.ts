import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Admission } from "../../../src/request/admission/admission.ts";
import { RequestError } from "../../../src/request/requestError.ts";
import { Err } from "../../../src/result.ts";
import { leaveWhileBusy } from "../../support/leaveWhileBusy.ts";
import { createCallerServer } from "./callerServerFixture.ts";

const key = "key";

// Guards against starting requests whose callers disconnected while the event loop was blocked: the loop then reads a
// request and the close of its connection together.
describe("requests whose callers disconnected before they were read", () => {
    it("are not started", async () => {
        let started = 0;
        const admission = {
            waitingCount: 0,
            requestAdmission: () => {
                started += 1;
                return Err(RequestError.cancelled());
            },
        };
        const environment = { admission: admission as unknown as Admission, getGateCapacity: () => 1 };
        const { server, address } = await createCallerServer({ apiKey: key, environment });
        const path = "/v1/services/receipts/a";
        await leaveWhileBusy({ address, key, path, count: 20, keepsConnections: false });
        await server.close();
        assert.equal(started, 0);
    });
});
