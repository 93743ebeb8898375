import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnswerSplitter } from "../../scripts/soak/router/answerSplitter.ts";

const whole = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\ncontent-length: 3\r\n\r\none";
const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\nb\r\n, in parts.\r\n0\r\n\r\n";
const empty = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

describe("AnswerSplitter", () => {
    /** Splits bytes that come in parts of a length. Returns what came, and whether each byte belongs to a request. */
    function split(bytes: string, partLength: number, requests: number): { answers: string[]; isOwned: boolean; } {
        const answers: string[] = [];
        let left = requests;
        const splitter = AnswerSplitter.create(() => {
            if (left === 0) {
                return undefined;
            }
            left -= 1;
            const index = answers.push("") - 1;
            return {
                onHead: (status, headers) => {
                    answers[index] = `${status} ${headers.get("response-seal") ?? "-"} `;
                },
                onBody: body => {
                    answers[index] += body;
                },
                onComplete: () => {
                    answers[index] += "!";
                },
            };
        });
        let isOwned = true;
        for (let at = 0; at < bytes.length; at += partLength) {
            isOwned &&= splitter.add(bytes.slice(at, at + partLength));
        }
        splitter.end();
        return { answers, isOwned };
    }

    it("splits answers with a length, in chunks and up to the end of the connection, wherever their bytes are cut", () => {
        const expected = ["200 s one!", "200 - two, in parts.!", "503 - !", "200 - rest!"];
        const bytes = `${whole}${chunked}${empty}HTTP/1.1 200 OK\r\n\r\nrest`;
        for (const partLength of [1, 7, bytes.length]) {
            assert.deepEqual(split(bytes, partLength, 4), { answers: expected, isOwned: true });
        }
    });

    it("does not complete an answer whose bytes are missing", () => {
        assert.deepEqual(split(whole.slice(0, -1), 5, 1).answers, ["200 s on"]);
        assert.deepEqual(split(chunked.slice(0, -5), 5, 1).answers, ["200 - two, in parts."]);
    });

    it("detects bytes that belong to no request", () => {
        assert.equal(split(whole + empty, 3, 1).isOwned, false);
    });
});
