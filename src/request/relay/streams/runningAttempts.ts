import type { RelayStage } from "../chains/relayStage.ts";
import { listDataCentres } from "../links/listDataCentres.ts";
import type { StreamAttempt } from "./streamAttempt.ts";

/**
 * The attempts of a streamed request that are in progress. The newest one is in use. Those before it were not ended for it, since what
 * makes them seem lost may pass: they go on until one of all makes progress.
 */
export class RunningAttempts {
    private readonly attempts: StreamAttempt[] = [];

    private constructor() {}

    /** Creates an instance without attempts. */
    static create(): RunningAttempts {
        return new RunningAttempts();
    }

    /** Adds an attempt that begins. It is the one in use. */
    add(attempt: StreamAttempt): void {
        this.attempts.push(attempt);
    }

    /** Removes an attempt that ends. If it was in use, the newest of the others is. */
    remove(attempt: StreamAttempt): void {
        const index = this.attempts.indexOf(attempt);
        if (index !== -1) {
            this.attempts.splice(index, 1);
        }
    }

    /** Checks if an attempt is in progress. */
    has(attempt: StreamAttempt): boolean {
        return this.attempts.includes(attempt);
    }

    /** Gets the attempt in use; undefined if there is none. */
    getCurrent(): StreamAttempt | undefined {
        return this.attempts.at(-1);
    }

    /** Lists the attempts, the oldest first. The list doesn't change as attempts begin and end. */
    list(): StreamAttempt[] {
        return [...this.attempts];
    }

    /** Lists the attempts but one. The list doesn't change as attempts begin and end. */
    listOthers(attempt: StreamAttempt): StreamAttempt[] {
        return this.attempts.filter(other => other !== attempt);
    }

    /** Checks if an attempt is the only one in progress. */
    isOnly(attempt: StreamAttempt): boolean {
        return this.attempts.length === 1 && this.has(attempt);
    }

    /** Checks if bytes of the request may have been sent by one of the attempts. */
    isAnySent(): boolean {
        return this.attempts.some(({ exchange }) => exchange?.getSentTime() !== undefined);
    }

    /** Gets the chain in use; undefined between attempts. */
    getStages(): readonly RelayStage[] | undefined {
        return this.getCurrent()?.stages;
    }

    /** Gets the data centres of the chain in use, in order. */
    getDataCentres(): string[] {
        return listDataCentres(this.getStages() ?? []);
    }

    /**
     * Gets the monotonic time of the last progress of the chain in use, in milliseconds; undefined while its answer is not read, since the
     * endpoint is not silent then.
     */
    getLastProgress(): number | undefined {
        const current = this.getCurrent();
        return current?.isPaused === true ? undefined : current?.lastProgressAt;
    }

    /** Gets the monotonic time at which the request was sent to the chain in use, in milliseconds. */
    getSentAt(): number | undefined {
        return this.getCurrent()?.sentAt;
    }

    /** Checks if the chain in use has sent an event. */
    hasEvents(): boolean {
        return this.getCurrent()?.firstEventAt !== undefined;
    }

    /** Checks if the stream may be queued at a link between data centres. */
    isQueuedAtLink(): boolean {
        return this.getCurrent()?.reservation.links.isQueued() === true;
    }

    /** Records that the stream waits for an endpoint that is silent, not for a link between data centres. */
    noteWaitForEndpoint(): void {
        this.getCurrent()?.reservation.links.noteOtherCause();
    }

    /** Checks if the path of the connection in use is known not to work. */
    isPathLost(): boolean {
        return this.getCurrent()?.exchange?.isPathLost() === true;
    }

    /** Tests the path of the connection in use. Calls back when the result is known. */
    testPath(onDone: () => void): void {
        const exchange = this.getCurrent()?.exchange;
        if (exchange === undefined) {
            onDone();
            return;
        }
        exchange.testPath(onDone);
    }
}
