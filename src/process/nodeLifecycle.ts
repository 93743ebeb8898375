import type { Clock } from "./clock.ts";

/** Options of a {@link NodeLifecycle}. */
interface NodeLifecycleOptions {
    clock: Clock;
    /** Checks if a configuration is in force. */
    hasConfiguration(): boolean;
    /** Gets the monotonic time of the last response from the store, in milliseconds; undefined before the first. */
    getStoreContact(): number | undefined;
    /** Gets the monotonic time of the last exchange with a peer, in milliseconds; undefined before the first. */
    getPeerContact(): number | undefined;
    /** Checks if other nodes are known, alive or not. */
    hasKnownPeers(): boolean;
}

/** Reason why a node refuses new requests. */
export interface NodeRefusal {
    code: string;
    message: string;
    retryAfterMilliseconds: number;
}

/** A node that has not reached the store or a peer for longer than this may have an outdated configuration. */
const isolationTimeoutMilliseconds = 10_000;
const drainingRetryMilliseconds = 500;
const notReadyRetryMilliseconds = 1_000;

/** Decides if a node accepts new requests. */
export class NodeLifecycle {
    private readonly options: NodeLifecycleOptions;
    private readonly startedAt: number;
    private isDraining = false;

    private constructor(options: NodeLifecycleOptions) {
        this.options = options;
        this.startedAt = options.clock.getMonotonicTime();
    }

    /** Creates the lifecycle of a node that has just started. */
    static create(options: NodeLifecycleOptions): NodeLifecycle {
        return new NodeLifecycle(options);
    }

    /** Makes the node refuse all new requests from now on. */
    startDraining(): void {
        this.isDraining = true;
    }

    /** Gets the reason why the node refuses new requests, or undefined if it accepts them. */
    getRefusal(): NodeRefusal | undefined {
        if (this.isDraining) {
            const message = "This node is shutting down. Retry the request; another node will accept it.";
            return { code: "draining", message, retryAfterMilliseconds: drainingRetryMilliseconds };
        }
        if (!this.options.hasConfiguration()) {
            const message = "This node has no configuration yet. Retry soon, or use another node.";
            return { code: "not_ready", message, retryAfterMilliseconds: notReadyRetryMilliseconds };
        }
        if (this.isIsolated()) {
            const message = "This node can reach neither the store nor any peer, so its configuration may be outdated."
                + " Retry the request; another node will accept it.";
            return { code: "isolated", message, retryAfterMilliseconds: notReadyRetryMilliseconds };
        }
        return undefined;
    }

    /** Checks if the platform's load balancer should send requests to this node. */
    getReadiness(): { ready: boolean; reason: string; } {
        const refusal = this.getRefusal();
        return refusal === undefined ? { ready: true, reason: "Ready." } : { ready: false, reason: refusal.message };
    }

    /**
     * Checks if neither the store nor a peer has responded within the timeout. A single node without known peers is never
     * isolated, so that it continues when the store is down: no newer version can be accepted without the store, and no
     * other node could serve its callers.
     */
    private isIsolated(): boolean {
        if (!this.options.hasKnownPeers()) {
            return false;
        }
        const { startedAt, options } = this;
        const lastContact = Math.max(
            startedAt,
            options.getStoreContact() ?? startedAt,
            options.getPeerContact() ?? startedAt,
        );
        return options.clock.getMonotonicTime() - lastContact > isolationTimeoutMilliseconds;
    }
}
