import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { ObservedEngine } from "./observedEngine.ts";

interface ObservedState {
    state: EndpointState["state"];
    /** Time for which it was seen so, in milliseconds; infinite for one that served at first sight. */
    observedMilliseconds: number;
    /** Whether it was leaving before it went unreachable. */
    wasLeaving: boolean;
}

/** Observations further apart than this count as this far apart, in milliseconds: this process was paused itself. */
const maximumGapMilliseconds = 2_000;

/**
 * Gives engines that have just vanished, or have just come back, a grace time. An engine that is leaving gets none: it
 * will go.
 */
export class EngineGrace {
    private readonly graceMilliseconds: number;
    private readonly observed = new Map<string, ObservedState>();
    private observedAt: number | undefined;

    private constructor(graceMilliseconds: number) {
        this.graceMilliseconds = graceMilliseconds;
    }

    /** Creates a grace that has observed nothing. */
    static create(graceMilliseconds: number): EngineGrace {
        return new EngineGrace(graceMilliseconds);
    }

    /**
     * Takes the states of all endpoints; those that are absent are forgotten.
     * @param states - What this node believes now.
     * @param now - Monotonic time in milliseconds.
     */
    observe(states: readonly EndpointState[], now: number): ObservedEngine[] {
        const gapMilliseconds = Math.min(maximumGapMilliseconds, now - (this.observedAt ?? now));
        this.observedAt = now;
        const engines: ObservedEngine[] = [];
        const names = new Set<string>();
        for (const state of states) {
            names.add(state.endpoint);
            engines.push(this.observeOne(state, gapMilliseconds));
        }
        for (const name of this.observed.keys()) {
            if (!names.has(name)) {
                this.observed.delete(name);
            }
        }
        return engines;
    }

    private observeOne({ endpoint, layers, state }: EndpointState, gapMilliseconds: number): ObservedEngine {
        const observed = getNextState(this.observed.get(endpoint), state, gapMilliseconds);
        this.observed.set(endpoint, observed);
        const isServing = state === "serving";
        const isPastGrace = observed.observedMilliseconds >= this.graceMilliseconds;
        const hasJustVanished = state === "unreachable" && !observed.wasLeaving && !isPastGrace;
        return {
            endpoint,
            layers,
            isHolder: isServing || hasJustVanished,
            isServing,
            isSteady: isServing && isPastGrace,
        };
    }
}

function getNextState(
    last: ObservedState | undefined,
    state: EndpointState["state"],
    gapMilliseconds: number,
): ObservedState {
    if (last === undefined) {
        return { state, observedMilliseconds: state === "serving" ? Infinity : 0, wasLeaving: false };
    }
    if (last.state === state) {
        return { ...last, observedMilliseconds: last.observedMilliseconds + gapMilliseconds };
    }
    return { state, observedMilliseconds: 0, wasLeaving: last.state === "leaving" };
}
