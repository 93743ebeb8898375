import type { UpstreamListener } from "../../src/connection/upstream/upstreamListener.ts";
import type { TimerHandle } from "../../src/process/clock.ts";
import type { SimulatedEngine } from "./simulatedEngine.ts";

/** One sending of a request to a chain of engines. */
export interface SimulatedRun {
    requestId: string;
    engines: SimulatedEngine[];
    promptTokens: number;
    /** Events of the whole answer, and of those that came. */
    events: number;
    written: number;
    /** Tokens that are in memory. */
    heldTokens: number;
    listener: UpstreamListener;
    timer: TimerHandle | undefined;
    hasHead: boolean;
}
