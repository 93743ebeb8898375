import assert from "node:assert/strict";
import { globSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { headerNames } from "../../platform/headerNames.ts";

/** Names defined by the platform that can't be confused with names of this project. */
const platformNames = [
    "op/config",
    "servers/",
    "kv-",
    "/v1/report",
    '/v1/order"',
    "/v1/readiness",
    "FOXLEAD_BOOT",
    "max_attempts",
    "api_keys",
    "timeout_ms",
    "traffic_split",
    "read_x",
    "queue_wait",
    "repath",
];
/** Headers that this project's own interfaces also use, alone or as part of another name. */
const sharedHeaders = new Set<string>(["authorization", "retry-after", "last-event-id", "request-id"]);
/** Headers that endpoints of `foxlead node` use too, by the only file that may contain each. */
const headerFiles: Readonly<Record<string, string>> = {
    "server-leaving": "src/connection/instructions/instructionHeaderNames.ts",
};
const maximumLines = 2_000;

describe("The platform folder", () => {
    it("is the only place that contains the platform's names", () => {
        const headers = Object.values(headerNames).filter(name => !sharedHeaders.has(name));
        const forbidden = [...platformNames, ...headers.filter(name => name.includes("-"))];
        const faults: string[] = [];
        for (const file of globSync("src/**/*.ts", { exclude: name => name.includes("generated") })) {
            const text = readFileSync(file, "utf8").toLowerCase();
            for (const name of forbidden) {
                if (text.includes(name.toLowerCase()) && headerFiles[name] !== file) {
                    faults.push(`${file}: ${name}`);
                }
            }
        }
        assert.deepEqual(faults, []);
    });

    it("stays small", () => {
        let lines = 0;
        for (const file of globSync("platform/**/*.ts")) {
            lines += readFileSync(file, "utf8").split("\n").length;
        }
        assert.ok(lines < maximumLines, `${lines} lines`);
    });

    it("is imported only by the entry point of the program", () => {
        const importers = globSync("src/**/*.ts").filter(file =>
            /from "(\.\.\/)+platform\//.test(readFileSync(file, "utf8"))
        );
        assert.deepEqual(importers.filter(file => file !== "src/main.ts" && !isOwnPlatformFolder(file)), []);
    });
});

/** Gets if a file is in `src/process`, whose folder `platform` is this project's own. */
function isOwnPlatformFolder(file: string): boolean {
    return file.startsWith("src/process/");
}
