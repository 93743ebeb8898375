import { request } from "undici";
import { parse as parseUuid } from "uuid";
import type { FaultTimeline } from "./faultTimeline.ts";
import type { Violations } from "./violations.ts";

/** The parts of an engine's execution record that are read here. */
interface ExecutedRun {
    attempt: number;
    position: number;
}

/** A period in which an engine was leaving. */
interface LeavingPeriod {
    engine: string;
    /** host:port of the engine. */
    address: string;
    /** Wall-clock times of the start and the end of the leaving signal, in milliseconds. */
    from: number;
    to: number;
    /** Passes refused because of leaving, counted once the signal had time to reach all nodes. */
    refusalsAfterSign: number;
    /** Passes refused because of leaving, counted at the end. */
    refusalsAtEnd: number;
}

/** Time after the leaving signal from which no new request may reach the engine, in milliseconds. */
const settleMilliseconds = 2_500;
/** Faults that delay the leaving signal; the settling time starts at their end. */
const delayingFaults = ["platformDown", "platformHang", "platformDelay", "nodeFreeze", "nodeStart"];
const timestampBytes = 6;

/**
 * Checks that a leaving engine received no first pass of a request that arrived after the leaving signal had time to reach
 * all nodes. The request id, a UUID of version 7, contains the time of arrival.
 * @returns False if other faults left no time to check.
 */
export async function checkLeaving(
    span: LeavingPeriod,
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
        } passes were refused by ${engine} after its leaving signal had settled.`;
        violations.add({ kind: "newWorkAtLeaving", message, from, to });
    }
    const response = await request(`http://${address}/standin/record`);
    const record = await response.body.json() as Record<string, ExecutedRun[]>;
    for (const [id, runs] of Object.entries(record)) {
        const arrivedAt = getArrivalTime(id);
        const isNew = runs.some(({ attempt, position }) => attempt === 1 && position === 0);
        if (isNew && arrivedAt > settledAt && arrivedAt < to) {
            const message = `Request ${id} started at ${engine} ${
                Math.round(arrivedAt - from)
            } ms after its leaving signal.`;
            violations.add({ kind: "newWorkAtLeaving", message, from, to });
        }
    }
    return true;
}

function getArrivalTime(id: string): number {
    return Buffer.from(parseUuid(id)).readUIntBE(0, timestampBytes);
}
