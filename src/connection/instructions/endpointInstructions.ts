import type { Clock } from "../../process/clock.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";
import type { AnswerInstructions } from "./answerInstructions.ts";

/** Options of {@link EndpointInstructions}. */
interface EndpointInstructionsOptions {
    clock: Pick<Clock, "getMonotonicTime" | "getWallTime">;
    log: EventLog;
    /** Called when an endpoint has announced that it is leaving, which wasn't known before. */
    onLeaving?(endpointId: string): void;
    /** Called when an endpoint has asked for a pause or for a longer one. */
    onPause?(endpointId: string): void;
}

/** Answer of an endpoint to this node. */
interface InstructingAnswer {
    endpointId: string;
    instructions: AnswerInstructions;
    /** What was answered: the id of a request, or the name of a call of the node itself. */
    answerTo: string;
}

/** Instructions of one endpoint that are in force. */
interface EndpointRecord {
    /** Monotonic time in milliseconds until which the endpoint wants no requests; -Infinity if it has asked for no pause. */
    pausedUntil: number;
    isLeaving: boolean;
    /** Monotonic time in milliseconds of the last answer with instructions. */
    answeredAt: number;
    /** Unix time in milliseconds of that answer. */
    answeredAtWallTime: number;
}

/** An endpoint's instructions, for operators. */
interface EndpointInstructionStatus {
    endpoint: string;
    isLeaving: boolean;
    pausedMilliseconds: number;
}

/** Time for which the leaving of an endpoint without a record is remembered: the record may come back after a store outage. */
const leavingRetentionMilliseconds = 600_000;

/**
 * The instructions that endpoints have given to this node in their answers: to send no requests for some time, or none any more
 * because the endpoint is leaving.
 *
 * They bind this node whatever the endpoint's record, its reports or peers say. A pause ends only with its time, and a leaving
 * endpoint stays so until it has restarted, which makes it another endpoint with another id.
 */
export class EndpointInstructions {
    private readonly options: EndpointInstructionsOptions;
    private readonly records = new Map<string, EndpointRecord>();

    private constructor(options: EndpointInstructionsOptions) {
        this.options = options;
    }

    /** Creates an instance without instructions. */
    static create(options: EndpointInstructionsOptions): EndpointInstructions {
        return new EndpointInstructions(options);
    }

    /** Applies the instructions of an answer. Of several pauses, the one that ends last counts. */
    noteAnswer({ endpointId, instructions, answerTo }: InstructingAnswer): void {
        const { isLeaving, pauseMilliseconds } = instructions;
        if (!isLeaving && pauseMilliseconds === undefined) {
            return;
        }
        const { clock } = this.options;
        const now = clock.getMonotonicTime();
        const known = this.records.get(endpointId);
        const record: EndpointRecord = {
            pausedUntil: Math.max(known?.pausedUntil ?? -Infinity, now + (pauseMilliseconds ?? -Infinity)),
            isLeaving: isLeaving || known?.isLeaving === true,
            answeredAt: now,
            answeredAtWallTime: clock.getWallTime(),
        };
        this.records.set(endpointId, record);
        this.report(endpointId, known, record, answerTo);
    }

    /**
     * Checks if this node may send a request to an endpoint.
     * @param endpointId - The endpoint.
     * @param at - Monotonic time in milliseconds at which it would be sent. Default: now.
     */
    maySend(endpointId: string, at: number = this.options.clock.getMonotonicTime()): boolean {
        const record = this.records.get(endpointId);
        return record === undefined || !record.isLeaving && record.pausedUntil <= at;
    }

    /** Checks if any endpoint wants no requests for some time. */
    hasPauses(): boolean {
        const now = this.options.clock.getMonotonicTime();
        for (const { pausedUntil } of this.records.values()) {
            if (pausedUntil > now) {
                return true;
            }
        }
        return false;
    }

    /** Checks if an endpoint has announced that it is leaving. */
    isLeaving(endpointId: string): boolean {
        return this.records.get(endpointId)?.isLeaving === true;
    }

    /** Gets the monotonic times in milliseconds at which the pauses of some endpoints end, in order and without repetition. */
    listPauseEnds(endpointIds: Iterable<string>): number[] {
        const now = this.options.clock.getMonotonicTime();
        const ends = new Set<number>();
        for (const id of endpointIds) {
            const record = this.records.get(id);
            if (record !== undefined && !record.isLeaving && record.pausedUntil > now) {
                ends.add(record.pausedUntil);
            }
        }
        return [...ends].sort((left, right) => left - right);
    }

    /**
     * Applies instructions to the next incarnation of an endpoint if it already ran when they arrived. The node then learned of
     * the restart late, and the answer came from the new process.
     * @param earlierId - Id of the earlier incarnation.
     * @param later - The later incarnation, with its start time in Unix milliseconds.
     */
    handleRestart(earlierId: string, later: { id: string; incarnation: number; }): void {
        const record = this.records.get(earlierId);
        if (record !== undefined && record.answeredAtWallTime >= later.incarnation && !this.records.has(later.id)) {
            this.records.set(later.id, record);
        }
    }

    /**
     * Ends the leaving of an endpoint that has no incarnations, after an answer that doesn't announce it: another process has
     * given the answer.
     * @param requestedAt - Monotonic time in milliseconds at which the answer was requested. Earlier announcements end.
     */
    endLeaving(endpointId: string, requestedAt: number): void {
        const record = this.records.get(endpointId);
        if (record?.isLeaving === true && record.answeredAt < requestedAt) {
            record.isLeaving = false;
        }
    }

    /** Forgets the instructions of an endpoint whose process has ended. */
    forget(endpointId: string): void {
        this.records.delete(endpointId);
    }

    /**
     * Removes instructions that have ended, and those of endpoints that have not been registered for a long time.
     * @param endpointIds - Ids of the registered endpoints.
     */
    retain(endpointIds: ReadonlySet<string>): void {
        const now = this.options.clock.getMonotonicTime();
        for (const [endpointId, { isLeaving, pausedUntil, answeredAt }] of this.records) {
            const isKept = isLeaving
                ? endpointIds.has(endpointId) || now - answeredAt < leavingRetentionMilliseconds
                : pausedUntil > now;
            if (!isKept) {
                this.records.delete(endpointId);
            }
        }
    }

    /** Lists the instructions in force, for operators. */
    getStatus(): EndpointInstructionStatus[] {
        const now = this.options.clock.getMonotonicTime();
        const statuses: EndpointInstructionStatus[] = [];
        for (const [endpoint, { isLeaving, pausedUntil }] of this.records) {
            if (isLeaving || pausedUntil > now) {
                statuses.push({ endpoint, isLeaving, pausedMilliseconds: Math.max(0, Math.round(pausedUntil - now)) });
            }
        }
        return statuses;
    }

    private report(
        endpointId: string,
        known: EndpointRecord | undefined,
        { isLeaving, pausedUntil, answeredAt }: EndpointRecord,
        answerTo: string,
    ): void {
        const { log, onLeaving, onPause } = this.options;
        if (pausedUntil > (known?.pausedUntil ?? -Infinity)) {
            const milliseconds = Math.round(pausedUntil - answeredAt);
            log.write(events.endpointPauseRequested, { endpoint: endpointId, answerTo, milliseconds });
            onPause?.(endpointId);
        }
        if (isLeaving && known?.isLeaving !== true) {
            log.write(events.endpointLeavingAnnounced, { endpoint: endpointId, answerTo });
            onLeaving?.(endpointId);
        }
    }
}
