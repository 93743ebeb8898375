import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseConnectionToClose } from "../../../src/connection/caller/chooseConnectionToClose.ts";

function createConnection(name: string, openedAt: number, idleStart: number | undefined, isIdle = true) {
    return { name, openedAt, isIdle: () => isIdle, getIdleStart: () => idleStart };
}

describe("chooseConnectionToClose", () => {
    const newest = createConnection("newest", 100, undefined);
    const busy = createConnection("busy", 0, 1, false);
    const firstBusy = createConnection("firstBusy", 0, undefined, false);
    const idleLong = createConnection("idleLong", 3, 5);
    const idleShort = createConnection("idleShort", 1, 50);
    const silentLong = createConnection("silentLong", 20, undefined);
    const silentShort = createConnection("silentShort", 90, undefined);

    it("chooses the oldest one without a request", () => {
        const all = [newest, busy, firstBusy, idleLong, silentShort, silentLong, idleShort];
        assert.equal(chooseConnectionToClose(all, newest), silentLong);
    });

    it("chooses the one that has been idle for the longest time if all have had requests", () => {
        assert.equal(chooseConnectionToClose([newest, busy, idleShort, idleLong], newest), idleLong);
    });

    it("chooses the new one only if all others have unanswered requests", () => {
        assert.equal(chooseConnectionToClose([newest, busy, firstBusy], newest), newest);
        assert.equal(chooseConnectionToClose([newest, busy, idleShort], newest), idleShort);
    });
});
