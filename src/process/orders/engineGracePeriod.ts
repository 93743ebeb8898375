import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { ObservedEngine } from "./observedEngine.ts";

interface ObservedState {
    state: EndpointState["state"];
    /**
     * Time spent in this state, in milliseconds; infinite for an engine that was serving when it was first observed.
     */
    durationMilliseconds: number;
    /** Whether the previous state was `leaving`. */
    wasLeaving: boolean;
}

/**
 * Longest time that is counted between two observations. A longer gap means that this process was paused, and the pause
 * says nothing about the engines.
 */
const maximumObservationGapMilliseconds = 2_000;

/**
 * Applies a grace period to state changes of engines: an engine that becomes unreachable keeps counting as a holder,
 * and one that recovers is given no load until the period is over. An engine that is leaving gets no grace period,
 * since it is shutting down on purpose.
 */
export class EngineGracePeriod {
    private readonly gracePeriodMilliseconds: number;
    private readonly observed = new Map<string, ObservedState>();
    private observedAt: number | undefined;

    private constructor(gracePeriodMilliseconds: number) {
        this.gracePeriodMilliseconds = gracePeriodMilliseconds;
    }

    /** Creates an instance without observations. */
    static create(gracePeriodMilliseconds: number): EngineGracePeriod {
        return new EngineGracePeriod(gracePeriodMilliseconds);
    }

    /**
     * Records the current states and gets the engines with the grace period applied. Endpoints that are absent are no
     * longer tracked.
     * @param states - States of all endpoints as this node sees them.
     * @param now - Monotonic time in milliseconds.
     */
    observe(states: readonly EndpointState[], now: number): ObservedEngine[] {
        const gapMilliseconds = Math.min(maximumObservationGapMilliseconds, now - (this.observedAt ?? now));
        this.observedAt = now;
        const engines: ObservedEngine[] = [];
        const names = new Set<string>();
        for (const state of states) {
            names.add(state.endpoint);
            engines.push(this.observeEndpoint(state, gapMilliseconds));
        }
        for (const name of this.observed.keys()) {
            if (!names.has(name)) {
                this.observed.delete(name);
            }
        }
        return engines;
    }

    private observeEndpoint({ endpoint, layers, state }: EndpointState, gapMilliseconds: number): ObservedEngine {
        const observed = getNextState(this.observed.get(endpoint), state, gapMilliseconds);
        this.observed.set(endpoint, observed);
        const isServing = state === "serving";
        const isGraceOver = observed.durationMilliseconds >= this.gracePeriodMilliseconds;
        const isInUnreachableGrace = state === "unreachable" && !observed.wasLeaving && !isGraceOver;
        return {
            endpoint,
            layers,
            isHolder: isServing || isInUnreachableGrace,
            isServing,
            isSteady: isServing && isGraceOver,
        };
    }
}

function getNextState(
    last: ObservedState | undefined,
    state: EndpointState["state"],
    gapMilliseconds: number,
): ObservedState {
    if (last === undefined) {
        return { state, durationMilliseconds: state === "serving" ? Infinity : 0, wasLeaving: false };
    }
    if (last.state === state) {
        return { ...last, durationMilliseconds: last.durationMilliseconds + gapMilliseconds };
    }
    return { state, durationMilliseconds: 0, wasLeaving: last.state === "leaving" };
}
