import assert from "node:assert/strict";
import { globSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { headerNames } from "../../platform/headerNames.ts";

/** Names of the platform that no other name of the product resembles. */
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
/** Headers that the product's own interfaces have too, alone or as a part of another name. */
const sharedHeaders = new Set<string>(["authorization", "retry-after", "last-event-id", "request-id"]);
const mostLines = 2_000;

describe("The platform's folder", () => {
    it("alone holds the platform's names", () => {
        const headers = Object.values(headerNames).filter(name => !sharedHeaders.has(name));
        const forbidden = [...platformNames, ...headers.filter(name => name.includes("-"))];
        const faults: string[] = [];
        for (const file of globSync("src/**/*.ts", { exclude: name => name.includes("generated") })) {
            const text = readFileSync(file, "utf8").toLowerCase();
            for (const name of forbidden) {
                if (text.includes(name.toLowerCase())) {
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
        assert.ok(lines < mostLines, `${lines} lines`);
    });

    it("is imported by nothing but the program's entry point", () => {
        const importers = globSync("src/**/*.ts").filter(file =>
            /from "(\.\.\/)+platform\//.test(readFileSync(file, "utf8"))
        );
        assert.deepEqual(importers.filter(file => file !== "src/main.ts" && !isOwnPlatformFolder(file)), []);
    });
});

/** `src/process/platform` is the product's own folder of that name. */
function isOwnPlatformFolder(file: string): boolean {
    return file.startsWith("src/process/");
}
