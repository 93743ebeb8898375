import type { UpstreamListener } from "../../src/connection/upstream/upstreamListener.ts";
import type { TimerHandle } from "../../src/process/clock.ts";
import type { SimulatedEngine } from "./simulatedEngine.ts";

/** One attempt of a request on a chain of engines. */
export interface SimulatedRun {
    requestId: string;
    engines: SimulatedEngine[];
    promptTokens: number;
    /** Number of events in the complete answer, and of events written so far. */
    events: number;
    writtenEvents: number;
    /** Tokens that take up memory at the engines. */
    heldTokens: number;
    listener: UpstreamListener;
    timer: TimerHandle | undefined;
    /** Whether the head of the response was sent. */
    hasHead: boolean;
}
