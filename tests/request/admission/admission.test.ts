import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AdmissionFixture } from "./admissionFixture.ts";

describe("Admission", () => {
    it("admits up to the concurrency limit and then one request per released ticket", async () => {
        const fixture = AdmissionFixture.create({ customers: { alice: { priority: 7 } } });
        const first = await fixture.send();
        const second = await fixture.send();
        const third = await fixture.send();
        assert.equal(first.ticket?.priority, 7);
        assert.equal(second.answeredAt, undefined);
        await fixture.advance(40);
        first.ticket?.release({ tokens: 100 });
        first.ticket?.release({ tokens: 100 });
        await fixture.advance(0);
        assert.equal(second.ticket?.queuedMilliseconds, 40);
        assert.equal(third.answeredAt, undefined);
    });

    it("refuses a waiting request as soon as it can no longer meet its deadline", async () => {
        const fixture = AdmissionFixture.create();
        await fixture.learnRate();
        await fixture.send();
        const now = fixture.clock.getMonotonicTime();
        const waiting = await fixture.send({ deadline: now + 3_500 });
        await fixture.advance(10_000);
        assert.equal(waiting.refusal?.kind, "waitTooLong");
        assert.equal(waiting.answeredAt, now + 2_500);
        assert.equal(fixture.admission.waitingCount, 0);
    });

    it("refuses a request without a deadline after the maximum wait", async () => {
        const fixture = AdmissionFixture.create({ limits: { maximumQueueMilliseconds: 300 }, concurrencyLimit: 0 });
        const waiting = await fixture.send();
        await fixture.advance(1_000);
        assert.deepEqual([waiting.refusal?.kind, waiting.answeredAt], ["waitTooLong", 300]);
    });

    it("immediately refuses requests that would wait too long, with spread retry delays", async () => {
        const fixture = AdmissionFixture.create({ limits: { maximumQueueMilliseconds: 3_000 } });
        await fixture.learnRate();
        const answers = await Promise.all(Array.from({ length: 8 }, () => fixture.send()));
        const refusals = answers.flatMap(answer => answer.refusal ?? []);
        assert.equal(refusals.length, 4);
        const delays = refusals.map(refusal => refusal.retryAfterMilliseconds);
        assert.equal(new Set(delays).size, 4);
        // The queue holds 3 s of work, so it is half empty after 1.5 s at the earliest.
        assert.ok(Math.min(...delays) >= 1_500, String(delays));
    });

    it("does not refuse a customer because of another customer's queue", async () => {
        const fixture = AdmissionFixture.create({ limits: { maximumQueueMilliseconds: 3_000 } });
        await fixture.learnRate();
        await Promise.all(Array.from({ length: 6 }, () => fixture.send()));
        const bob = await fixture.send({ customer: "bob" });
        assert.equal(bob.refusal, undefined);
    });

    it("evicts a request from a full queue for a customer with less in the queue", async () => {
        const fixture = AdmissionFixture.create({ limits: { maximumQueuedRequests: 4 } });
        const answers = [];
        for (const customer of ["alice", "alice", "alice", "bob", "bob", "carol", "alice"]) {
            answers.push(await fixture.send({ customer }));
        }
        const kinds = answers.map(answer => answer.refusal?.kind);
        // Carol is not in the configuration; Alice's last request exceeds the half of the queue that one customer may occupy.
        assert.deepEqual(kinds.slice(5), ["rateLimited", "queueFull"]);
        assert.equal(fixture.admission.waitingCount, 4);
        fixture.configuration.customers.carol = { keyHashes: [], weight: 1, requestsPerSecond: 9, priority: 0 };
        const carol = await fixture.send({ customer: "carol" });
        assert.equal(carol.refusal, undefined);
        assert.equal(answers.filter(answer => answer.refusal?.kind === "queueFull").length, 2);
        assert.equal(fixture.admission.waitingCount, 4);
    });

    it("removes a waiting request when its caller disconnects", async () => {
        const fixture = AdmissionFixture.create();
        await fixture.send();
        const abort = new AbortController();
        const waiting = await fixture.send({ signal: abort.signal });
        abort.abort();
        await fixture.advance(0);
        assert.equal(waiting.refusal?.kind, "cancelled");
        assert.equal(fixture.admission.waitingCount, 0);
        assert.equal((await fixture.send({ signal: abort.signal })).refusal?.kind, "cancelled");
    });

    it("refuses new and waiting requests while draining and lets running requests finish", async () => {
        const fixture = AdmissionFixture.create();
        const running = await fixture.send();
        const waiting = await fixture.send();
        fixture.admission.startDraining();
        await fixture.advance(0);
        assert.equal(waiting.refusal?.kind, "draining");
        assert.equal((await fixture.send()).refusal?.kind, "draining");
        running.ticket?.release({ tokens: 100 });
        assert.deepEqual(fixture.admission.getGateLoads(), [{ gate: "chat", running: 0, waiting: 0, limit: 1 }]);
    });

    it("admits waiting requests when the limit increases, and lowers the limit after an engine's refusal", async () => {
        const fixture = AdmissionFixture.create({ concurrencyLimit: 0 });
        const waiting = await Promise.all(Array.from({ length: 4 }, () => fixture.send()));
        fixture.concurrencyLimit = 10;
        fixture.admission.admitWaiting("chat");
        await fixture.advance(0);
        assert.ok(waiting.every(answer => answer.ticket !== undefined));
        fixture.admission.observeRefusal("chat");
        assert.equal(fixture.admission.getGateLoads()[0]?.limit, 3);
    });

    it("does not count a request against the rate limit if it is refused because of the wait", async () => {
        const fixture = AdmissionFixture.create({ customers: { alice: { requestsPerSecond: 1 } } });
        await fixture.send();
        const late = await fixture.send({ deadline: -1 });
        assert.equal(late.refusal?.kind, "waitTooLong");
        assert.notEqual((await fixture.send()).refusal?.kind, "rateLimited");
    });
});
