import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { NodeFixture } from "./nodeFixture.ts";

const chatPath = "/v1/chat/completions";
const authorization = `Bearer ${NodeFixture.apiKey}`;
const invalid = { outcome: "invalid" } as const;

describe("invalid requests", () => {
    let fixture: NodeFixture;
    let runsBefore = 0;

    before(async () => {
        fixture = await NodeFixture.create();
    });

    after(() => fixture.close());

    afterEach(() => {
        assert.equal(fixture.countRuns(), runsBefore, "An invalid request reached an endpoint.");
    });

    it("rejects requests without a valid API key", async () => {
        const expected = { ...invalid, status: 401, code: "invalid_api_key", message: /Authorization: Bearer KEY/ };
        const invalidHeaders = ["", "Bearer", "Bearer wrong", `Basic ${NodeFixture.apiKey}`, NodeFixture.apiKey];
        for (const invalidHeader of invalidHeaders) {
            NodeFixture.assertError(await fixture.chat({}, { authorization: invalidHeader }), expected);
        }
        NodeFixture.assertError(await fixture.call("GET", "/v1/models", {}), expected);
        NodeFixture.assertError(await fixture.call("POST", "/v1/services/receipts/a", {}, "x"), expected);
    });

    it("lists the available models and services if one is unknown", async () => {
        const message = /Use one of: assistant, letters\./;
        const expected = { ...invalid, status: 404, code: "model_not_found", message };
        for (const model of ["nothing", "constructor", "__proto__", "receipts", ""]) {
            NodeFixture.assertError(await fixture.chat({ model }), expected);
        }
        for (const service of ["nothing", "constructor", "assistant"]) {
            NodeFixture.assertError(await fixture.post(`/v1/services/${service}/a`, "x"), {
                ...invalid,
                status: 404,
                code: "service_not_found",
                message: /Use one of: receipts, summaries/,
            });
        }
    });

    it("lists the allowed methods", async () => {
        for (const [method, path, allow] of [["GET", chatPath, "POST"], ["DELETE", "/v1/models", "GET"]] as const) {
            const answer = await fixture.call(method, path, { authorization });
            const message = new RegExp(`takes ${allow}, not ${method}`);
            NodeFixture.assertError(answer, { ...invalid, status: 405, code: "method_not_allowed", message });
            assert.equal(answer.headers["allow"], allow);
        }
    });

    it("answers a HEAD request without a body", async () => {
        const answer = await fixture.call("HEAD", "/v1/models", { authorization });
        assert.equal(answer.status, 405);
        assert.equal(answer.text, "");
    });

    it("lists the available paths if one is unknown", async () => {
        for (const path of ["/", "/v1", "/v1/services/receipts", "/v1/services/%zz/a", "/%", "//", "/v1/Models"]) {
            const answer = await fixture.call("GET", path, { authorization });
            const message = /Use \/v1\/chat\/completions/;
            NodeFixture.assertError(answer, { ...invalid, status: 404, code: "not_found", message });
        }
    });

    it("rejects a body that is not a JSON object", async () => {
        for (const body of ["", "{", "nonsense", "\u0000", "[".repeat(90_000)]) {
            const answer = await fixture.post(chatPath, body);
            NodeFixture.assertError(answer, { ...invalid, status: 400, code: "invalid_json", message: /JSON object/ });
        }
    });

    it("names the invalid field", async () => {
        const changes: [object, RegExp][] = [
            [{ model: 1 }, /model/],
            [{ messages: [] }, /messages/],
            [{ messages: "text" }, /messages/],
            [{ messages: [{ role: "user", content: 1 }] }, /messages\.0\.content/],
            [{ stream: "yes" }, /stream/],
            [{ max_tokens: 0 }, /max_tokens/],
            [{ max_tokens: "4" }, /max_tokens/],
            [{ max_tokens: 1.5 }, /max_tokens/],
        ];
        for (const [change, message] of changes) {
            const answer = await fixture.chat(change);
            NodeFixture.assertError(answer, { ...invalid, status: 400, code: "invalid_body", message });
        }
        for (const body of ["null", "[]", "1", '"text"']) {
            const answer = await fixture.post(chatPath, body);
            NodeFixture.assertError(answer, { ...invalid, status: 400, code: "invalid_body", message: /body/ });
        }
    });

    it("requires an idempotency key for a request that may run only once", async () => {
        const expected = { ...invalid, status: 400, code: "idempotency_key_missing", message: /UUID version 7/ };
        NodeFixture.assertError(await fixture.chat({ model: "letters" }), expected);
        NodeFixture.assertError(await fixture.post("/v1/services/receipts/a", "x"), expected);
        for (const value of ["false", "False", "0", "no"]) {
            NodeFixture.assertError(await fixture.chat({}, { "x-foxlead-idempotent": value }), expected);
        }
    });

    it("describes the error of an idempotency key", async () => {
        const keys: [string, RegExp][] = [
            ["nonsense", /not a UUID of version 7/],
            ["e3b0c442-98fc-4c14-9afb-f4c8996fb924", /not a UUID of version 7/],
            ["a".repeat(1_000), /not a UUID of version 7/],
            ["../families/x", /not a UUID of version 7/],
            ["017f22e2-79b0-7cc3-98c4-dc0c0c07398f", /older than 300000 ms/],
            ["ffffffff-ffff-7cc3-98c4-dc0c0c07398f", /in the future/],
        ];
        for (const [key, message] of keys) {
            const answer = await fixture.chat({ model: "letters" }, { "idempotency-key": key });
            NodeFixture.assertError(answer, { ...invalid, status: 400, code: "bad_idempotency_key", message });
        }
    });

    it("rejects a key that was used with another body, and replays the stored answer for the same body", async () => {
        const key = { "idempotency-key": NodeFixture.createKey() };
        const first = await fixture.chat({ model: "letters" }, key);
        assert.equal(first.status, 200, first.text);
        runsBefore = fixture.countRuns();
        const other = await fixture.chat({ model: "letters", max_tokens: 5 }, key);
        const message = /Use a new key/;
        NodeFixture.assertError(other, { ...invalid, status: 422, code: "key_reused", message });
        assert.equal((await fixture.chat({ model: "letters" }, key)).text, first.text);
    });
});
