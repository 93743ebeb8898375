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

/** What one trial showed; times in milliseconds. */
export interface TrialFigures {
    /** Longest time without a token after the fault, of each stream over a struck engine. */
    struckStalls: number[];
    /** The same of all streams in flight at the fault. */
    allStalls: number[];
    /** Times between tokens after the fault, over all streams in flight at it. */
    gaps: number[];
    /** Until the tokens a second were back at 0.95 of the new steady rate. */
    throughputMilliseconds: number;
    wrongAnswers: number;
    /** Attempts that ended without an answer, by cause. */
    brokenAttempts: ReadonlyMap<string, number>;
    /** Connections replaced, and passes that engines got again, before the fault. */
    replacedBefore: number;
    repeatedBefore: number;
    tokensPerSecondBefore: number;
    tokensPerSecondAfter: number;
}

const warmUpMilliseconds = 2_500;
const observedMilliseconds = 5_000;
const steadyMilliseconds = 1_500;
const longestDrainMilliseconds = 15_000;
const pollMilliseconds = 50;
/** Time for the engines to hear that the answers were given up, so that the next trial finds their memory free. */
const cancelMilliseconds = 500;
const rateWindowMilliseconds = 300;
const rateStepMilliseconds = 20;
const steadyPart = 0.95;

/**
 * Runs one trial: streams warm up, the fault strikes, and the streams are watched until they have ended.
 * @param options - The engines, the router and the fault.
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
    const struckEngines = fault === undefined ? [] : fault.getStruck(fleet, chooseEngine(inFlight, random()));
    const struck = inFlight.filter(record => record.endpoints.some(endpoint => struckEngines.includes(endpoint)));
    const struckAt = performance.now();
    await Promise.all(struckEngines.map(engine => fault?.strike(fleet, engine)));
    await sleep(observedMilliseconds);
    const end = struckAt + observedMilliseconds;
    await waitUntilEnded(inFlight);
    const tokensPerSecondAfter = load.getRate(end - steadyMilliseconds, end);
    const figures: TrialFigures = {
        struckStalls: struck.map(record => Math.max(...getGaps(record, struckAt))),
        allStalls: inFlight.map(record => Math.max(...getGaps(record, struckAt))),
        gaps: inFlight.flatMap(record => getGaps(record, struckAt)),
        throughputMilliseconds: getThroughputTime(load, struckAt, tokensPerSecondAfter),
        wrongAnswers: load.wrongAnswers,
        brokenAttempts: new Map(router.counts.brokenAttempts),
        replacedBefore,
        repeatedBefore,
        tokensPerSecondBefore: load.getRate(struckAt - steadyMilliseconds, struckAt),
        tokensPerSecondAfter,
    };
    await load.stop();
    await sleep(cancelMilliseconds);
    await router.close();
    await Promise.all(struckEngines.map(engine => fault?.repair(fleet, engine)));
    return figures;
}

/** Chooses one of the engines that carry streams; the more streams, the likelier. */
function chooseEngine(inFlight: readonly StreamRecord[], draw: number): string {
    const carrying = inFlight.flatMap(record => record.endpoints);
    return carrying[Math.floor(draw * carrying.length)]!;
}

/** Gets the times between tokens after the fault; the first one counts from the fault on. */
function getGaps(record: StreamRecord, struckAt: number): number[] {
    const times = [...record.tokenTimes.filter(time => time > struckAt), record.endedAt ?? performance.now()];
    return times.map((time, index) => time - (times[index - 1] ?? struckAt));
}

async function waitUntilEnded(records: readonly StreamRecord[]): Promise<void> {
    for (let waited = 0; waited < longestDrainMilliseconds; waited += pollMilliseconds) {
        if (records.every(record => record.endedAt !== undefined)) {
            return;
        }
        await sleep(pollMilliseconds);
    }
}

function getThroughputTime(load: StreamLoad, struckAt: number, steadyRate: number): number {
    for (let offset = 0; offset < observedMilliseconds; offset += rateStepMilliseconds) {
        const from = struckAt + offset;
        if (load.getRate(from, from + rateWindowMilliseconds) >= steadyPart * steadyRate) {
            return offset;
        }
    }
    return observedMilliseconds;
}
