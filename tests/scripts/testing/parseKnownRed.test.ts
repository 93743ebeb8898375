import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseKnownRed } from "../../../scripts/testing/parseKnownRed.ts";

const line = "tests/a.test.ts > Suite > does a, b | node --test tests/a.test.ts | what was seen | issue 12";

describe("parseKnownRed", () => {
    it("parses the lines of the file", () => {
        assert.deepEqual(parseKnownRed(`${line}\n\n`), [
            {
                file: "tests/a.test.ts",
                fullName: "Suite does a, b",
                command: "node --test tests/a.test.ts",
                seen: "what was seen",
                issue: "issue 12",
            },
        ]);
        assert.deepEqual(parseKnownRed(""), []);
    });

    it("rejects more than three lines and duplicate lines", () => {
        const lines = [1, 2, 3, 4].map(number => line.replace("does", `does ${number}`));
        assert.equal(parseKnownRed(lines.slice(0, 3).join("\n")).length, 3);
        assert.throws(() => parseKnownRed(lines.join("\n")), /4 lines/);
        assert.throws(() => parseKnownRed(`${line}\n${line}`), /twice/);
    });

    it("counts no lines of tests with crowds, which are otherwise treated alike", () => {
        const crowdLines = [1, 2, 3, 4].map(number => `tests/crowd/b.test.ts > Crowd > test ${number} | c | d | e`);
        const lines = [1, 2, 3, 4].map(number => line.replace("does", `does ${number}`));
        assert.equal(parseKnownRed([...crowdLines, ...lines.slice(0, 3)].join("\n")).length, 7);
        assert.throws(() => parseKnownRed([...crowdLines, ...lines].join("\n")), /4 lines/);
        assert.throws(() => parseKnownRed(`${crowdLines[0]}\n${crowdLines[0]}`), /twice/);
        assert.throws(() => parseKnownRed(`${crowdLines[0]} | more`), /malformed/);
        for (const file of ["tests/a/tests/crowd/b.test.ts", "tests/crowds/b.test.ts"]) {
            const others = lines.map(each => each.replace("tests/a.test.ts >", `${file} >`));
            assert.throws(() => parseKnownRed(others.join("\n")), /4 lines/);
        }
    });

    it("rejects malformed lines", () => {
        for (
            const malformed of [
                "x",
                "tests/a.test.ts | b | c | d",
                "tests/a.test.ts > a | b | c",
                "src/a.ts > b | c | d | e",
                `${line} | more`,
            ]
        ) {
            assert.throws(() => parseKnownRed(malformed), /malformed/);
        }
        for (const part of ["node --test tests/a.test.ts", "what was seen", "issue 12"]) {
            assert.throws(() => parseKnownRed(line.replace(part, "")), /malformed/);
        }
    });
});
