import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { ReadPacer } from "../../../src/process/loop/readPacer.ts";

describe("ReadPacer", () => {
    let pacer: ReadPacer;
    let turnEnds: (() => void)[];
    let changes: string[];

    beforeEach(() => {
        turnEnds = [];
        changes = [];
        pacer = ReadPacer.create({ schedule: callback => turnEnds.push(callback) });
    });

    function addReader(name: string) {
        const reader = {
            pauseTurn: () => void changes.push(`-${name}`),
            resumeTurn: () => void changes.push(`+${name}`),
        };
        pacer.add(reader);
        return reader;
    }

    function endTurn(): string[] {
        const [end] = turnEnds.splice(0);
        end?.();
        return changes.splice(0);
    }

    it("lets connections with little work be read", () => {
        const readers = ["a", "b", "c"].map(addReader);
        for (const reader of readers) {
            pacer.note(reader, 999);
        }
        assert.deepEqual(endTurn(), []);
        assert.deepEqual(turnEnds, []);
    });

    it("pauses a connection with much work until the next turn", () => {
        const [first, second] = ["a", "b"].map(addReader) as [
            ReturnType<typeof addReader>,
            ReturnType<typeof addReader>,
        ];
        pacer.note(second, 1);
        pacer.note(first, 600);
        pacer.note(first, 400);
        pacer.note(first, 400);
        assert.deepEqual(changes.splice(0), ["-a"]);
        assert.deepEqual(endTurn(), ["+a"]);
    });

    it("pauses all connections if there is too much work in a turn, and resumes them in turn", () => {
        const readers = ["a", "b", "c", "d"].map(addReader);
        for (const reader of readers.slice(0, 3)) {
            pacer.note(reader, 3_000);
        }
        assert.deepEqual(changes.splice(0), ["-a", "-b", "-c", "-d"]);
        assert.deepEqual(endTurn(), ["+a"]);
        assert.deepEqual(endTurn(), ["+b"]);
        assert.deepEqual(endTurn(), ["+c", "+d"]);
        assert.deepEqual(turnEnds, []);
    });

    it("resumes at least one connection a turn, in the order in which they were paused", () => {
        const readers = ["a", "b"].map(addReader);
        pacer.note(readers[0]!, 50_000);
        pacer.note(readers[1]!, 50_000);
        changes.splice(0);
        assert.deepEqual(endTurn(), ["+a"]);
        pacer.note(readers[0]!, 50_000);
        changes.splice(0);
        assert.deepEqual(endTurn(), ["+b"]);
        assert.deepEqual(endTurn(), ["+a"]);
    });

    it("forgets a connection that has closed", () => {
        const readers = ["a", "b"].map(addReader);
        pacer.note(readers[0]!, 5_000);
        changes.splice(0);
        pacer.remove(readers[0]!);
        pacer.note(readers[0]!, 5_000);
        assert.deepEqual(endTurn(), ["+b"]);
    });
});
