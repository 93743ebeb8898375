import assert from "node:assert/strict";
import { mkdtempSync, rmSync, statSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { createBundle } from "../../../scripts/executable/createBundle.ts";
import { getLibraryBytes } from "../../../scripts/executable/getLibraryBytes.ts";

/** Bytes of the bundle of all commands, with which a start takes `startSeconds`. */
const bytesOfAllCommands = 3_444_572;
const startSeconds = 0.58;
/** Target of docs/design/hard-load.md. The time of a start is taken as proportional to the bytes that it loads. */
const targetSeconds = 0.25;
const maximumBytes = bytesOfAllCommands * targetSeconds / startSeconds;
const bytesOfOwnCode = 450_000;
/** Bounds that a library exceeds when more of it is loaded than a node uses. */
const maximumLibraryBytes = new Map([["undici", 450_000], ["zod", 160_000], ["consola", 20_000]]);
const commandLineLibraries = [
    "yargs",
    "yargs-parser",
    "cliui",
    "jsonc-parser",
    "heap-js",
    "@connectrpc/connect-node",
    "find-my-way",
];

describe("The bundle of the command platform", () => {
    let folder: string;
    let libraries: Map<string, number>;

    before(async () => {
        folder = mkdtempSync(join(tmpdir(), "foxlead-bundle-"));
        const file = join(folder, "platform.cjs");
        libraries = getLibraryBytes(await createBundle({ entry: "platform/main.ts", file, hasRequest: false }));
        assert.ok(statSync(file).size <= maximumBytes, `The bundle has ${statSync(file).size} bytes.`);
    });

    after(() => rmSync(folder, { recursive: true }));

    it("contains no library of other commands, which would be loaded at each start of a node", () => {
        for (const name of commandLineLibraries) {
            assert.equal(libraries.get(name), undefined, name);
        }
        assert.ok(libraries.get("foxlead")! <= bytesOfOwnCode);
    });

    it("contains no more of large libraries than a node uses", () => {
        for (const [name, maximum] of maximumLibraryBytes) {
            assert.ok(libraries.get(name)! <= maximum, `${name}: ${libraries.get(name)} bytes`);
        }
    });
});
