import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isConnectFailure } from "../../../src/connection/endpoint/isConnectFailure.ts";

describe("isConnectFailure", () => {
    function doTest(error: unknown, isExpected: boolean): void {
        assert.equal(isConnectFailure(error), isExpected);
    }

    it("accepts only errors that occurred before the connection was established", () => {
        doTest({ code: "ECONNREFUSED", syscall: "connect" }, true);
        doTest({ code: "EHOSTUNREACH", syscall: "connect" }, true);
        doTest({ code: "UND_ERR_CONNECT_TIMEOUT" }, true);
        doTest({ code: "EHOSTUNREACH", syscall: "read" }, false);
        doTest({ code: "ECONNRESET", syscall: "write" }, false);
        doTest(undefined, false);
    });
});
