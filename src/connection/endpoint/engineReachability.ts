import type { Clock } from "../../process/clock.ts";
import type { ProbeOutcome } from "./probeOutcome.ts";

/** Options of an {@link EngineReachability}. */
interface EngineReachabilityOptions {
    clock: Clock;
    /** Probes the engine over a new connection. */
    probe(): Promise<ProbeOutcome>;
    /** Called when a probe got no response and no pass was answered during the probe. */
    onSilent(): void;
}

/** Time for which the engine is treated as unreachable after a failed probe, unless it answers earlier. */
const unreachableMilliseconds = 1_000;
/** Time for which the engine is treated as in use after its last pass. */
const inUseMilliseconds = 5_000;
/**
 * An engine that has not answered for this long is probed with the next pass, whose deadline may not be learned yet.
 */
const idleMilliseconds = 2_000;

/** Tracks from this node's own calls if an engine is reachable. At most one probe runs at a time. */
export class EngineReachability {
    private readonly options: EngineReachabilityOptions;
    private runningProbe: Promise<boolean> | undefined;
    private usedAt = Number.NEGATIVE_INFINITY;
    private answeredAt = Number.NEGATIVE_INFINITY;
    private unreachableUntil = Number.NEGATIVE_INFINITY;
    private wasRefused = false;

    private constructor(options: EngineReachabilityOptions) {
        this.options = options;
    }

    /** Creates the state of an engine that has not been called yet. */
    static create(options: EngineReachabilityOptions): EngineReachability {
        return new EngineReachability(options);
    }

    /** Records that a pass is sent, and probes the engine if it has not answered for a while. */
    observeUse(): void {
        this.usedAt = this.options.clock.getMonotonicTime();
        if (this.usedAt - this.answeredAt > idleMilliseconds) {
            void this.probe();
        }
    }

    /** Records that the engine answered. */
    observeAnswer(): void {
        this.answeredAt = this.options.clock.getMonotonicTime();
        this.unreachableUntil = Number.NEGATIVE_INFINITY;
        this.wasRefused = false;
    }

    /** Checks if no process listened at the engine's address when it was last probed. */
    hasEnded(): boolean {
        return this.wasRefused;
    }

    /** Checks if a pass was recently sent to the engine. */
    isInUse(): boolean {
        return this.options.clock.getMonotonicTime() - this.usedAt < inUseMilliseconds;
    }

    /** Checks if a recent probe failed and the engine has not answered since. */
    isUnreachable(): boolean {
        return this.options.clock.getMonotonicTime() < this.unreachableUntil;
    }

    /** Probes the engine and returns whether it answers. Concurrent calls share one probe. */
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
        // A pass was answered during the probe, so only the probe was slow or lost.
        if (this.answeredAt > startedAt) {
            return true;
        }
        this.wasRefused = outcome === "refused";
        this.unreachableUntil = this.options.clock.getMonotonicTime() + unreachableMilliseconds;
        // If the probe was refused, the connections of passes in flight fail too, and each error shows if the pass was
        // sent.
        if (outcome === "silent") {
            this.options.onSilent();
        }
        return false;
    }
}
