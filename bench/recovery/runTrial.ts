import { setTimeout as sleep } from "node:timers/promises";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import type { EngineFleet } from "./engineFleet.ts";
import type { Fault } from "./fault.ts";
import type { Router } from "./router.ts";
import { StreamLoad, type StreamRecord } from "./streamLoad.ts";

/** Options of {@link runTrial}. */
interface TrialOptions {
    fleet: EngineFleet;
    /** Undefined for a trial without a fault. */
    fault: Fault | undefined;
    seed: number;
    streams: number;
    createRouter(fleet: EngineFleet, seed: number): Router;
}

/** Figures of one trial. Times are in milliseconds. */
export interface TrialFigures {
    /** Longest time without a token after the fault, of each stream on an affected engine. */
    struckStalls: number[];
    /** Longest time without a token after the fault, of each stream in flight at the fault. */
    allStalls: number[];
    /** Times between tokens after the fault, of all streams in flight at the fault. */
    gaps: number[];
    /** Time until the throughput reached 0.95 of the steady throughput after the fault. */
    throughputMilliseconds: number;
    /** Number of answers that were incomplete or differed from the reference model's. */
    wrongAnswers: number;
    /** Number of attempts that ended without an answer, by cause. */
    brokenAttempts: ReadonlyMap<string, number>;
    /** Number of connections replaced, and of passes that engines received again, before the fault. */
    replacedBefore: number;
    repeatedBefore: number;
    tokensPerSecondBefore: number;
    tokensPerSecondAfter: number;
}

const warmUpMilliseconds = 2_500;
const observedMilliseconds = 5_000;
const steadyWindowMilliseconds = 1_500;
const maximumDrainMilliseconds = 15_000;
const pollMilliseconds = 50;
/** Time for the engines to handle cancellations, so that their memory is free for the next trial. */
const cancellationMilliseconds = 500;
const rateWindowMilliseconds = 300;
const rateStepMilliseconds = 20;
const steadyFraction = 0.95;

/**
 * Runs one trial: warms up the streams, injects the fault, and observes the streams until they end.
 * @param options - Engines, router, load and fault.
 */
export async function runTrial(options: TrialOptions): Promise<TrialFigures> {
    const { fleet, fault, seed, streams } = options;
    const random = createSeededRandom(seed);
    const repeatedAtStart = await fleet.countRepeatedPasses();
    const router = options.createRouter(fleet, seed);
    const load = StreamLoad.start({ router, layers: fleet.layers, streams, random });
    await sleep(warmUpMilliseconds);
    const repeatedBefore = await fleet.countRepeatedPasses() - repeatedAtStart;
    const replacedBefore = router.counts.replacedConnections;
    const inFlight = load.getRunning().filter(record => record.tokenTimes.length > 0);
    const affectedEngines = fault === undefined
        ? []
        : fault.getAffectedEngines(fleet, chooseEngine(inFlight, random()));
    const affected = inFlight.filter(record => record.endpoints.some(endpoint => affectedEngines.includes(endpoint)));
    const faultAt = performance.now();
    await Promise.all(affectedEngines.map(engine => fault?.inject(fleet, engine)));
    await sleep(observedMilliseconds);
    const end = faultAt + observedMilliseconds;
    await waitUntilEnded(inFlight);
    const tokensPerSecondAfter = load.getRate(end - steadyWindowMilliseconds, end);
    const figures: TrialFigures = {
        struckStalls: affected.map(record => Math.max(...getGaps(record, faultAt))),
        allStalls: inFlight.map(record => Math.max(...getGaps(record, faultAt))),
        gaps: inFlight.flatMap(record => getGaps(record, faultAt)),
        throughputMilliseconds: getThroughputTime(load, faultAt, tokensPerSecondAfter),
        wrongAnswers: load.wrongAnswers,
        brokenAttempts: new Map(router.counts.brokenAttempts),
        replacedBefore,
        repeatedBefore,
        tokensPerSecondBefore: load.getRate(faultAt - steadyWindowMilliseconds, faultAt),
        tokensPerSecondAfter,
    };
    await load.stop();
    await sleep(cancellationMilliseconds);
    await router.close();
    await Promise.all(affectedEngines.map(engine => fault?.repair(fleet, engine)));
    return figures;
}

/** Chooses an engine at random, weighted by the number of streams that it carries. */
function chooseEngine(inFlight: readonly StreamRecord[], draw: number): string {
    const endpoints = inFlight.flatMap(record => record.endpoints);
    return endpoints[Math.floor(draw * endpoints.length)]!;
}

/** Gets the times between tokens after the fault. The first one starts at the fault. */
function getGaps(record: StreamRecord, faultAt: number): number[] {
    const times = [...record.tokenTimes.filter(time => time > faultAt), record.endedAt ?? performance.now()];
    return times.map((time, index) => time - (times[index - 1] ?? faultAt));
}

async function waitUntilEnded(records: readonly StreamRecord[]): Promise<void> {
    for (let waited = 0; waited < maximumDrainMilliseconds; waited += pollMilliseconds) {
        if (records.every(record => record.endedAt !== undefined)) {
            return;
        }
        await sleep(pollMilliseconds);
    }
}

function getThroughputTime(load: StreamLoad, faultAt: number, steadyRate: number): number {
    for (let offset = 0; offset < observedMilliseconds; offset += rateStepMilliseconds) {
        const from = faultAt + offset;
        if (load.getRate(from, from + rateWindowMilliseconds) >= steadyFraction * steadyRate) {
            return offset;
        }
    }
    return observedMilliseconds;
}
