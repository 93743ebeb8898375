import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { describe, it } from "node:test";

const root = new URL("../..", import.meta.url).pathname;

describe("the library", () => {
    function run(...options: string[]): string[] {
        const all = ["--disable-warning=ExperimentalWarning", ...options];
        return execFileSync(process.execPath, all, { cwd: root, encoding: "utf8" }).trim().split("\n");
    }

    function doTest(example: string, expected: string[]): void {
        assert.deepEqual(run(`docs/examples/library/${example}.ts`), expected);
    }

    it("starts nothing when imported, and loads no code of the node process", () => {
        const script = `
            import { registerHooks } from "node:module";
            const loaded = [];
            registerHooks({ load: (url, context, next) => { loaded.push(url); return next(url, context); } });
            await import("./src/index.ts");
            const daemon = /undici|foxleadNode|callerServer|yargs|consola|connect-node/;
            console.log(loaded.filter(url => daemon.test(url)).length, process.getActiveResourcesInfo().length);
        `;
        const [daemonModules] = run("--input-type=module", "--eval", script)[0]!.split(" ");
        assert.equal(daemonModules, "0");
    });

    it("follows a value that only grows", () => {
        doTest("monotonicFollower", [
            "The limit is 20 now.",
            "accepted",
            "notNewer",
            "broken",
            "Version 2 stays in force.",
        ]);
    });

    it("grants a key to one claimant", () => {
        doTest("claimLog", ["first: granted", "second: taken by request-first"]);
    });

    it("sends orders only while the lease is held", () => {
        doTest("fencedLease", ["Before: not sent.", "Held: sent.", "After: not sent."]);
    });

    it("tracks the members and reassigns the keys of dead ones", () => {
        doTest("membershipView", [
            "2 members; the owner of shard-3 is known: true.",
            "After a miss 7002 is suspect.",
            "After the suspicion timeout it is dead.",
            "The owner of shard-3 is 7001.",
        ]);
    });
});
