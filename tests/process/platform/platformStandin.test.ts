import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { describe, it } from "node:test";
import { EtcdStore } from "../../../src/process/platform/etcdStore.ts";

const mainPath = new URL("../../../standins/platform/main.ts", import.meta.url).pathname;

describe("platform stand-in as a process", () => {
    it("reports that it is ready, serves and counts calls, injects faults, and exits with status 0 on SIGTERM", async () => {
        const child = spawn(process.execPath, [mainPath, "--port", "0"], { stdio: ["ignore", "pipe", "inherit"] });
        const [line] = await once(createInterface(child.stdout), "line") as [string];
        const address = /^platform stand-in ready on (127\.0\.0\.1:\d+)$/.exec(line)?.[1] ?? "";
        const post = async (path: string, body?: object) =>
            await fetch(`http://${address}${path}`, { method: "POST", body: JSON.stringify(body) });
        const store = EtcdStore.create({ address, timeoutMilliseconds: 10_000 });
        assert.equal((await store.compareAndSwap("key", 0, "value")).unwrap().swapped, true);
        const counts = await (await fetch(`http://${address}/standin/counts`)).json() as Record<string, number>;
        assert.deepEqual([counts.transaction, counts.range], [1, 0]);
        assert.equal((await post("/standin/counts/reset")).status, 200);
        assert.equal((await post("/standin/faults", { restoreOlder: true })).status, 400);
        assert.equal((await post("/standin/snapshot")).status, 200);
        assert.equal((await post("/standin/faults", { down: true })).status, 200);
        assert.equal((await store.get("key")).ok, false);
        await store.close();
        const exited = once(child, "exit");
        child.kill("SIGTERM");
        assert.deepEqual(await exited, [0, null]);
    });
});
