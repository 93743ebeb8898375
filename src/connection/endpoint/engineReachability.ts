import type { Clock } from "../../process/clock.ts";
import type { ProbeOutcome } from "./probeOutcome.ts";

/** Options of an {@link EngineReachability}. */
interface EngineReachabilityOptions {
    clock: Clock;
    /** Asks the engine over a new connection. */
    probe(): Promise<ProbeOutcome>;
    /** Called when the engine answered neither a probe nor a pass meanwhile. */
    onSilent(): void;
}

/** After a failed probe the engine counts as unreachable for this long, unless it answers before. */
const unreachableMilliseconds = 1_000;
/** An engine counts as in use for so long after its last pass. */
const inUseMilliseconds = 5_000;
/** An engine that has not answered for so long is probed together with the next pass, whose deadline is not learnt. */
const idleMilliseconds = 2_000;

/** What one node's own calls show of whether an engine answers. At most one probe runs at a time. */
export class EngineReachability {
    private readonly options: EngineReachabilityOptions;
    private runningProbe: Promise<boolean> | undefined;
    private usedAt = Number.NEGATIVE_INFINITY;
    private answeredAt = Number.NEGATIVE_INFINITY;
    private unreachableUntil = Number.NEGATIVE_INFINITY;

    private constructor(options: EngineReachabilityOptions) {
        this.options = options;
    }

    /** Creates the state of an engine that was never called. */
    static create(options: EngineReachabilityOptions): EngineReachability {
        return new EngineReachability(options);
    }

    /** Notes that a pass is on its way; one to an engine that has not answered for a while takes a probe with it. */
    observeUse(): void {
        this.usedAt = this.options.clock.getMonotonicTime();
        if (this.usedAt - this.answeredAt > idleMilliseconds) {
            void this.probe();
        }
    }

    /** Notes that the engine answered. */
    observeAnswer(): void {
        this.answeredAt = this.options.clock.getMonotonicTime();
        this.unreachableUntil = Number.NEGATIVE_INFINITY;
    }

    /** Tells whether a pass was given to the engine not long ago. */
    isInUse(): boolean {
        return this.options.clock.getMonotonicTime() - this.usedAt < inUseMilliseconds;
    }

    /** Tells whether a probe failed not long ago and nothing was answered since. */
    isUnreachable(): boolean {
        return this.options.clock.getMonotonicTime() < this.unreachableUntil;
    }

    /** Probes the engine; probes that are asked for while one runs share its outcome. */
    probe(): Promise<boolean> {
        this.runningProbe ??= this.runProbe();
        return this.runningProbe;
    }

    private async runProbe(): Promise<boolean> {
        const startedAt = this.options.clock.getMonotonicTime();
        const outcome = await this.options.probe();
        this.runningProbe = undefined;
        if (outcome === "answering") {
            this.observeAnswer();
            return true;
        }
        // A pass that was answered meanwhile shows that only the probe was slow or lost.
        if (this.answeredAt > startedAt) {
            return true;
        }
        this.unreachableUntil = this.options.clock.getMonotonicTime() + unreachableMilliseconds;
        // Where the probe was refused, the connections of passes on their way break too, and each tells whether it left.
        if (outcome === "silent") {
            this.options.onSilent();
        }
        return false;
    }
}
