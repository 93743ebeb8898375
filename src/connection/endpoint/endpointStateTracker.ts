import type { LayerRange } from "../../version/configuration.ts";
import type { EndpointObservation } from "./endpointObservation.ts";
import type { EndpointState } from "./endpointState.ts";
import type { EngineStatus } from "./engineProtocol.ts";

/** Time for which a response that this node received overrides peer reports that the endpoint is unreachable. */
const ownAnswerMilliseconds = 1_000;

/**
 * Tracks the state of one endpoint from four sources: this node's own calls, the endpoint's status, the reports of
 * peers and the VM list of the platform. One source that reports "leaving" is sufficient. The VM list and the other sources
 * are tracked separately, so that neither cancels a "leaving" of the other. What the endpoint itself announces in its answers
 * isn't tracked here.
 */
export class EndpointStateTracker {
    private readonly endpoint: string;
    private layers: readonly LayerRange[];
    private hasReportedLayers = false;
    private isVmLeaving = false;
    private isLeaving = false;
    private isUnreachable = false;
    private answeredAt = Number.NEGATIVE_INFINITY;

    private constructor(endpoint: string, layers: readonly LayerRange[]) {
        this.endpoint = endpoint;
        this.layers = layers;
    }

    /** Creates the initial state: serving, with the layers of the configuration. */
    static create(endpoint: string, layers: readonly LayerRange[]): EndpointStateTracker {
        return new EndpointStateTracker(endpoint, layers);
    }

    getState(): EndpointState {
        const { endpoint, layers } = this;
        if (this.isLeaving || this.isVmLeaving) {
            return { endpoint, layers, state: "leaving" };
        }
        return { endpoint, layers, state: this.isUnreachable ? "unreachable" : "serving" };
    }

    /** Sets the layers of a new configuration, unless the engine has reported its own. */
    setConfiguredLayers(layers: readonly LayerRange[]): void {
        if (!this.hasReportedLayers) {
            this.layers = layers;
        }
    }

    observeStatus(status: EngineStatus): void {
        this.isUnreachable = false;
        this.isLeaving = status.leaving;
        this.setReportedLayers(status.layers);
    }

    /** @param now - Monotonic time in milliseconds. */
    observeAnswer(now: number): void {
        this.isUnreachable = false;
        this.answeredAt = now;
    }

    observeUnreachable(): void {
        this.isUnreachable = true;
    }

    observeVm(state: "live" | "leaving"): void {
        this.isVmLeaving = state === "leaving";
    }

    /** @param now - Monotonic time in milliseconds. */
    observePeerReport(observation: EndpointObservation, now: number): void {
        if (observation.state === "unreachable") {
            this.isUnreachable ||= now - this.answeredAt > ownAnswerMilliseconds;
            return;
        }
        this.isUnreachable = false;
        this.isLeaving = observation.state === "leaving";
        this.setReportedLayers(observation.layers);
    }

    private setReportedLayers(layers: readonly LayerRange[]): void {
        if (layers.length > 0 || this.hasReportedLayers) {
            this.layers = layers;
            this.hasReportedLayers = true;
        }
    }
}
