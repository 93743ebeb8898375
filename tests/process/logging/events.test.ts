import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { events } from "../../../src/process/logging/events.ts";
import { formatEventCatalogue } from "../../../src/process/logging/formatEventCatalogue.ts";

describe("events", () => {
    it("have unique four-digit numbers and messages that are sentences", () => {
        const numbers = new Set<number>();
        for (const [name, event] of Object.entries(events)) {
            assert.ok(!numbers.has(event.number), `${name} has a number that is not unique: ${event.number}.`);
            numbers.add(event.number);
            assert.match(String(event.number), /^\d{4}$/);
            assert.match(event.message, /^[A-Z].*\.$/, name);
        }
    });

    it("match the catalogue in the docs", () => {
        const page = readFileSync(new URL("../../../docs/EVENTS.md", import.meta.url), "utf8");
        assert.equal(page, formatEventCatalogue(events), "Run npm run events and commit docs/EVENTS.md.");
    });
});
