import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClaimOutcome } from "../../../src/process/claims/claimOutcome.ts";
import { ClaimOwner } from "../../../src/process/claims/claimOwner.ts";
import type { ClaimVerdict } from "../../../src/process/claims/claimVerdict.ts";
import { GrantLedger } from "../../../src/process/claims/grantLedger.ts";
import { createTestKey } from "./createTestKey.ts";
import { type CallBehavior, createScheduledStore } from "./scheduledStore.ts";
import { ScheduledTime } from "./scheduledTime.ts";

const hour = 3_600_000;
/** Longer than a slot is kept, so that the ring wraps around. */
const longPause = 150_000;
const ringSize = 3;
const owners = 3;
const keysPerPause = 4;

/** Step of a run: a delay, then a claim. */
interface Step {
    passMilliseconds: number;
    owner: number;
    /** Index among the keys used since the last long pause. */
    key: number;
    /** Number of long pauses since the key was first used. */
    age: number;
    body: string;
    /** Whether the owner discards the shard's state first, as in a takeover. */
    isTakeover: boolean;
    /** Whether the last claimant retries because it has no verdict yet, possibly at another owner. */
    isRetry: boolean;
}

interface Answer {
    owner: number;
    key: string;
    claimant: string;
    verdict: ClaimVerdict;
}

const callBehavior = fc.oneof(
    { weight: 8, arbitrary: fc.constant<CallBehavior>("answered") },
    { weight: 4, arbitrary: fc.constantFrom<CallBehavior>("lostAnswer", "lostRequest", "lateWrite", "notDone") },
);
const step: fc.Arbitrary<Step> = fc.record({
    passMilliseconds: fc.constantFrom(0, 0, 1, 5, 5, 20, 20, 20, 20, 200, longPause),
    owner: fc.nat(owners - 1),
    key: fc.nat(keysPerPause - 1),
    age: fc.constantFrom(0, 0, 0, 1),
    isTakeover: fc.constantFrom(true, false, false, false, false),
    body: fc.constantFrom("a", "a", "a", "b"),
    isRetry: fc.boolean(),
});
const skews = fc.array(fc.constantFrom(0, 0, -hour, hour, -30_000), { minLength: owners, maxLength: owners });

/** Runs the steps in one interleaving and gets all answers. */
async function run(
    scheduler: fc.Scheduler,
    steps: Step[],
    behaviors: CallBehavior[],
    skewOf: number[],
): Promise<Answer[]> {
    const time = ScheduledTime.create(scheduler);
    const grants = GrantLedger.create({ retentionMilliseconds: Infinity });
    const store = createScheduledStore(scheduler, () => behaviors.pop() ?? "answered");
    const nodes = skewOf.map((skew, index) =>
        ClaimOwner.create({
            store,
            clock: time.createClock(skew),
            log: { write: () => undefined },
            ownerId: `owner${index}`,
            shards: 1,
            getShardOfKey: () => 0,
            windowMilliseconds: 60_000,
            appendIntervalMilliseconds: 10,
            giveUpMilliseconds: 500,
            ringSize,
            pageSize: 1,
            grants,
        })
    );
    const keys = new Map<number, string>();
    const answers: Answer[] = [];
    const running: Promise<unknown>[] = [];
    let claimantCount = 0;
    let pauseCount = 0;
    async function claim({ owner, key, age, body, isRetry }: Step): Promise<void> {
        const index = (pauseCount + 1 - age) * keysPerPause + key;
        const keyText = keys.get(index) ?? createTestKey(time.get(), index);
        keys.set(index, keyText);
        claimantCount += isRetry ? 0 : 1;
        const item = {
            key: keyText,
            bodyHash: body,
            claimant: `claimant${claimantCount}-${index}`,
            nodeId: `${owner}`,
        };
        for (const verdict of await nodes[owner]?.claim(0, [item]) ?? []) {
            answers.push({ owner, key: keyText, claimant: item.claimant, verdict });
        }
    }
    async function runSteps(): Promise<void> {
        for (const each of steps) {
            await scheduler.schedule(Promise.resolve(), "step");
            time.advance(each.passMilliseconds);
            pauseCount += each.passMilliseconds === longPause ? 1 : 0;
            if (each.isTakeover) {
                nodes[each.owner]?.releaseShard(0);
            }
            running.push(claim(each));
        }
    }
    running.push(runSteps());
    await time.runToEnd();
    await Promise.all(running);
    return answers;
}

/** Checks that no key was granted to two claimants. */
function check(answers: Answer[]): void {
    const grantedTo = new Map<string, string>();
    for (const { key, claimant, verdict } of answers) {
        if (verdict.outcome === ClaimOutcome.Granted) {
            assert.equal(grantedTo.get(key) ?? claimant, claimant, `${key} was granted twice`);
            grantedTo.set(key, claimant);
        }
    }
}

describe("claims in random interleavings", () => {
    it("grants a key to only one claimant across all owners", async () => {
        const outcomeCounts = new Map<string, number>();
        await fc.assert(
            fc.asyncProperty(
                fc.scheduler(),
                fc.array(step, { minLength: 10, maxLength: 40, size: "max" }),
                fc.array(callBehavior, { maxLength: 60, size: "max" }),
                skews,
                async (scheduler, steps, behaviors, skewOf) => {
                    const answers = await run(scheduler, steps, behaviors, skewOf);
                    check(answers);
                    for (const { verdict } of answers) {
                        outcomeCounts.set(verdict.outcome, (outcomeCounts.get(verdict.outcome) ?? 0) + 1);
                    }
                },
            ),
            { seed: 20_260_101, numRuns: 300 },
        );
        for (const outcome of ["granted", "taken", "body_mismatch", "too_old", "unavailable"]) {
            assert.ok(outcomeCounts.has(outcome), `No run had the outcome ${outcome}`);
        }
    });
});
