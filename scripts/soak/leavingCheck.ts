import { request } from "undici";
import { parse as parseUuid } from "uuid";
import type { FaultTimeline } from "./faultTimeline.ts";
import type { Violations } from "./violations.ts";

/** What an engine has run of one request, as far as it is read here. */
interface ExecutedRun {
    attempt: number;
    position: number;
}

/** A time in which an engine was leaving. */
interface LeavingSpan {
    engine: string;
    /** host:port of the engine. */
    address: string;
    /** Wall-clock times of the sign and of its end, in milliseconds. */
    from: number;
    to: number;
    /** Passes that the engine had refused as leaving, once the sign had time to reach all nodes. */
    refusalsAfterSign: number;
    /** The same at the end. */
    refusalsAtEnd: number;
}

/** Time after the sign from which nothing new may reach the engine, in milliseconds. */
const settleMilliseconds = 2_500;
/** Faults that keep the sign from a node or make it start anew: the time counts from their end. */
const delayingFaults = ["platformDown", "platformHang", "platformDelay", "nodeFreeze", "nodeStart"];
const timestampBytes = 6;

/**
 * Checks that nothing new has reached a leaving engine: no first pass of a request that arrived after the sign had time to
 * reach all nodes. Requests carry their time of arrival in their id, a UUID of version 7.
 */
export async function checkLeaving(
    span: LeavingSpan,
    timeline: FaultTimeline,
    violations: Violations,
): Promise<boolean> {
    const { engine, address, from, to, refusalsAfterSign, refusalsAtEnd } = span;
    const delays = timeline.getDuring(from - settleMilliseconds, to).filter(({ kind }) =>
        delayingFaults.includes(kind)
    );
    const settledAt = Math.max(from, ...delays.map(fault => fault.to)) + settleMilliseconds;
    if (settledAt >= to) {
        return false;
    }
    if (delays.length === 0 && refusalsAtEnd > refusalsAfterSign) {
        const message = `${
            refusalsAtEnd - refusalsAfterSign
        } passes were refused by ${engine} after its sign had settled.`;
        violations.add({ kind: "newWorkAtLeaving", message, from, to });
    }
    const response = await request(`http://${address}/standin/record`);
    const record = await response.body.json() as Record<string, ExecutedRun[]>;
    for (const [id, runs] of Object.entries(record)) {
        const arrivedAt = getArrivalTime(id);
        const isNew = runs.some(({ attempt, position }) => attempt === 1 && position === 0);
        if (isNew && arrivedAt > settledAt && arrivedAt < to) {
            const message = `Request ${id} began at ${engine} ${Math.round(arrivedAt - from)} ms after its sign.`;
            violations.add({ kind: "newWorkAtLeaving", message, from, to });
        }
    }
    return true;
}

function getArrivalTime(id: string): number {
    return Buffer.from(parseUuid(id)).readUIntBE(0, timestampBytes);
}
